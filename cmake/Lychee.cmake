# Helpers that give each folder of the workspace one short CMakeLists.txt.

add_library(lychee_options INTERFACE)
target_compile_options(lychee_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror -fno-omit-frame-pointer
  # GCC 12 misreads two things: the operator delete of coroutine frames, and at -O3 std::string's operator+.
  $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete> $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>
  # Assertions state a caller's duty and stay on in every build.
  -UNDEBUG)
target_compile_definitions(lychee_options INTERFACE BOOST_ASIO_NO_DEPRECATED ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE
  BOOST_DISABLE_ASSERTS)
if(LYCHEE_SANITIZE)
  # Instrumented code misleads a warning of GCC 12 about the storage of an empty boost::optional.
  target_compile_options(lychee_options INTERFACE -fsanitize=${LYCHEE_SANITIZE} -fno-sanitize-recover=all
    -Wno-maybe-uninitialized)
  if(LYCHEE_SANITIZE STREQUAL "thread")
    # Asio's fences, which the thread sanitizer does not model; its data races are still found.
    target_compile_options(lychee_options INTERFACE -Wno-tsan)
  endif()
  target_link_options(lychee_options INTERFACE -fsanitize=${LYCHEE_SANITIZE})
endif()
target_include_directories(lychee_options INTERFACE ${CMAKE_SOURCE_DIR}/libs ${CMAKE_SOURCE_DIR})
target_include_directories(lychee_options SYSTEM INTERFACE ${JSONCPP_INCLUDE})

# lychee_library(NAME DEPENDS lib... LINK library...): every .cpp of the folder, as lychee_NAME.
function(lychee_library Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  list(TRANSFORM Arg_DEPENDS PREPEND lychee_)
  if(Sources)
    add_library(lychee_${Name} STATIC ${Sources})
    target_link_libraries(lychee_${Name} PUBLIC lychee_options ${Arg_DEPENDS} ${Arg_LINK})
  else()
    add_library(lychee_${Name} INTERFACE)
    target_link_libraries(lychee_${Name} INTERFACE lychee_options ${Arg_DEPENDS} ${Arg_LINK})
  endif()
endfunction()

# lychee_program(NAME DEPENDS lib... LINK library...): every .cpp of the folder, as build/bin/NAME.
function(lychee_program Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  list(TRANSFORM Arg_DEPENDS PREPEND lychee_)
  add_executable(${Name} ${Sources})
  target_link_libraries(${Name} PRIVATE lychee_options ${Arg_DEPENDS} ${Arg_LINK})
endfunction()

# lychee_test(NAME DEPENDS lib...): tests/NAME/*.cpp as one CppUTest program and one ctest entry a group file.
function(lychee_test Name)
  cmake_parse_arguments(Arg "" "TIMEOUT" "DEPENDS;LINK" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS ${Name}/*.cpp)
  if(NOT Sources)
    return()
  endif()
  list(TRANSFORM Arg_DEPENDS PREPEND lychee_)
  add_executable(lychee-test-${Name} ${Sources} support/TestMain.cpp)
  target_include_directories(lychee-test-${Name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_compile_definitions(lychee-test-${Name} PRIVATE LYCHEE_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    LYCHEE_BIN_DIR="${CMAKE_BINARY_DIR}/bin")
  target_link_libraries(lychee-test-${Name} PRIVATE lychee_options ${Arg_DEPENDS} ${Arg_LINK}
    ${CPPUTEST_LIBRARY} ${CPPUTEST_EXT_LIBRARY})
  add_test(NAME ${Name} COMMAND lychee-test-${Name} -c)
  if(NOT Arg_TIMEOUT)
    set(Arg_TIMEOUT 300)
  endif()
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${Arg_TIMEOUT})
endfunction()
