#include "settings/IniDocument.h"

#include <cstring>
#include <ini.h>
#include <optional>

namespace lychee::settings {

namespace {

/// Room for some 800 client blocks in one line.
constexpr std::size_t LineLimitBytes = std::size_t{16} * 1024;

/// libinih cuts a heading at 49 bytes without a word.
constexpr std::size_t HeadingLimitBytes = 49;

/// libinih wants room for the line break and the final NUL.
constexpr int LineBufferBytes = static_cast<int>(LineLimitBytes) + 3;

/// Debian's libinih takes its options from global variables. They are set
/// once, before the first text is read, and never again.
void configureLibrary() {
  [[maybe_unused]] static const bool Configured = [] {
    ini_max_line = LineBufferBytes;
    ini_initial_alloc = LineBufferBytes;
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_allow_multiline = false;
    ini_allow_no_value = false;
    ini_allow_bom = false;
    ini_allow_inline_comments = true;
    ini_stop_on_first_error = false;
    return true;
  }();
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t\r\n\v\f";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

bool isContinuation(unsigned char Byte) { return (Byte & 0xc0) == 0x80; }

/// \returns length of the UTF-8 sequence at the start of \p Text, 0 if bad.
std::size_t sequenceLength(std::string_view Text) {
  const auto Lead = static_cast<unsigned char>(Text.front());
  if (Lead < 0x80)
    return 1;
  const std::size_t Length = Lead >= 0xf0 ? 4 : Lead >= 0xe0 ? 3 : 2;
  if (Lead < 0xc2 || Lead > 0xf4 || Text.size() < Length)
    return 0;
  for (std::size_t Index = 1; Index < Length; ++Index)
    if (!isContinuation(static_cast<unsigned char>(Text[Index])))
      return 0;
  return Length;
}

bool isUtf8(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t Length = sequenceLength(Text);
    if (Length == 0)
      return false;
    Text.remove_prefix(Length);
  }
  return true;
}

/// Hands libinih one line after the other and takes the entries back. libinih
/// tells only the first bad line and calls no one for a heading, so both are
/// noted here: a line for which no entry came is bad.
class LineFeed {
public:
  LineFeed(std::string_view Text, std::string_view File, Problems &Found)
      : Rest_(Text), File_(File), Found_(Found) {}

  LineFeed(const LineFeed &) = delete;
  LineFeed &operator=(const LineFeed &) = delete;

  IniDocument read() {
    configureLibrary();
    const int Result = ini_parse_stream(giveLine, this, takeEntry, this);
    if (Result == OutOfMemory)
      report("text", "no memory to read it", "a text that fits into memory");
    return std::move(Document_);
  }

private:
  static constexpr int OutOfMemory = -2;

  /// The library's ini_reader.
  static char *giveLine(char *Buffer, int Capacity, void *Self) {
    return static_cast<LineFeed *>(Self)->next(Buffer, Capacity);
  }

  /// The library's ini_handler.
  static int takeEntry(void *Self, const char *, const char *Key,
                       const char *Value) {
    static_cast<LineFeed *>(Self)->take(Key, Value);
    return 1;
  }

  char *next(char *Buffer, int Capacity) {
    reportIgnoredLine();
    if (Rest_.empty())
      return nullptr;
    ++Line_;
    const std::size_t End = Rest_.find('\n');
    std::string_view Line = Rest_.substr(0, End);
    Rest_.remove_prefix(End == std::string_view::npos ? Rest_.size() : End + 1);
    if (!accept(Line) || Line.size() + 2 > static_cast<std::size_t>(Capacity))
      Line = ""; // Not {}: memcpy must not see a null pointer.
    std::memcpy(Buffer, Line.data(), Line.size());
    Buffer[Line.size()] = '\n';
    Buffer[Line.size() + 1] = '\0';
    return Buffer;
  }

  /// \returns whether libinih is to see the line.
  bool accept(std::string_view Line) {
    if (Line.size() > LineLimitBytes)
      return report("line", std::to_string(Line.size()) + " bytes",
                    "at most " + std::to_string(LineLimitBytes) + " bytes");
    if (Line.find('\0') != std::string_view::npos)
      return report("line", "a NUL byte", "text");
    if (!isUtf8(Line))
      return report("line", "bytes that are not UTF-8", "UTF-8 text");
    const std::string_view Content = trimmed(Line);
    if (Content.empty() || Content.front() == ';' || Content.front() == '#')
      return false;
    if (Content.front() == '[')
      return openSection(Content);
    AwaitsEntry_ = true;
    return true;
  }

  bool openSection(std::string_view Content) {
    // Entries that follow a bad heading belong to no section that we know:
    // they are passed over, as a report for each would hide the cause.
    Open_ = false;
    const std::size_t End = Content.find(']');
    if (End == std::string_view::npos)
      return report("heading", Content, "[KIND] or [KIND NAME]");
    const std::string_view Heading = trimmed(Content.substr(1, End - 1));
    if (Heading.empty() || Heading.size() > HeadingLimitBytes)
      return report("heading", Heading, "[KIND] or [KIND NAME], 1 to 49 bytes");
    const std::string_view After = trimmed(Content.substr(End + 1));
    if (!After.empty() && After.front() != ';' && After.front() != '#')
      return report("heading", Content, "nothing after ]");
    const std::size_t Gap = Heading.find_first_of(" \t");
    IniSection Section;
    Section.Kind_ = Heading.substr(0, Gap);
    if (Gap != std::string_view::npos)
      Section.Name_ = trimmed(Heading.substr(Gap));
    Section.Line_ = Line_;
    Document_.Sections_.push_back(std::move(Section));
    Open_ = true;
    return true;
  }

  void take(const char *Key, const char *Value) {
    AwaitsEntry_ = false;
    if (Open_) {
      Document_.Sections_.back().Entries_.push_back({Key, Value, Line_});
      return;
    }
    if (Document_.Sections_.empty())
      report(Key, "a key before any heading", "a [KIND NAME] heading first");
  }

  void reportIgnoredLine() {
    if (!AwaitsEntry_)
      return;
    AwaitsEntry_ = false;
    // The line itself is not shown: someone may have pasted a key there.
    report("line", "neither heading nor key = value",
           "[KIND NAME], key = value, ; comment");
  }

  bool report(std::string_view Key, std::string_view What,
              std::string_view Allowed) {
    Found_.push_back({std::string(File_), Line_, std::string(Key),
                      std::string(What), std::string(Allowed)});
    return false;
  }

  std::string_view Rest_;
  std::string_view File_;
  Problems &Found_;
  IniDocument Document_;
  int Line_ = 0;
  bool Open_ = false;
  bool AwaitsEntry_ = false;
};

} // namespace

IniDocument readIni(std::string_view Text, std::string_view File,
                    Problems &Found) {
  return LineFeed(Text, File, Found).read();
}

} // namespace lychee::settings
