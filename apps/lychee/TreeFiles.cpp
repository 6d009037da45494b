#include "TreeFiles.h"

#include "settings/Values.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>

namespace lychee::command {

namespace {

namespace files = std::filesystem;

constexpr std::string_view VersionFile = ".lychee-version";

bool fail(base::Error &Last, const char *Step, const std::string &Path,
          std::string Reason) {
  Last = {Step, Path, std::move(Reason)};
  return false;
}

bool readText(const files::path &Path, std::string &Into, base::Error &Last) {
  std::ifstream Stream(Path, std::ios::binary);
  Into.assign(std::istreambuf_iterator<char>(Stream), {});
  if (Stream.good() || Stream.eof())
    return true;
  return fail(Last, "read", Path.string(), "the file cannot be read");
}

bool writeText(const files::path &Path, const std::string &Text,
               base::Error &Last) {
  std::error_code Code;
  files::create_directories(Path.parent_path(), Code);
  std::ofstream Stream(Path, std::ios::binary | std::ios::trunc);
  Stream << Text;
  Stream.flush();
  if (Stream.good())
    return true;
  return fail(Last, "write", Path.string(), "the file cannot be written");
}

bool readTeam(const files::path &Root, const files::path &Folder,
              TreeFiles &Into, base::Error &Last) {
  std::error_code Code;
  files::recursive_directory_iterator Walk(Folder, Code);
  for (; !Code && Walk != files::recursive_directory_iterator();
       Walk.increment(Code)) {
    if (!Walk->is_regular_file() || Walk->path().extension() != ".ini")
      continue;
    const std::string Path = files::relative(Walk->path(), Root).string();
    if (!readText(Walk->path(), Into.Documents_[Path], Last))
      return false;
  }
  if (Code)
    return fail(Last, "read", Folder.string(), Code.message());
  Into.Teams_.insert(Folder.filename().string());
  return true;
}

std::optional<std::uint64_t> readVersion(const files::path &Folder) {
  std::ifstream Stream(Folder / VersionFile);
  std::string Word;
  Stream >> Word;
  return settings::parseCount(Word);
}

} // namespace

std::optional<TreeFiles> readTree(const std::string &Folder,
                                  const std::string &Team, base::Error &Last) {
  const files::path Root(Folder);
  TreeFiles Read;
  std::error_code Code;
  files::directory_iterator Walk(Root, Code);
  if (Code) {
    fail(Last, "read", Folder, Code.message());
    return std::nullopt;
  }
  for (const files::directory_entry &Each : Walk) {
    const std::string Name = Each.path().filename().string();
    if (!Each.is_directory() || Name.starts_with('.') ||
        (!Team.empty() && Name != Team))
      continue;
    if (!readTeam(Root, Each.path(), Read, Last))
      return std::nullopt;
  }
  Read.Version_ = readVersion(Root);
  if (!Read.Teams_.empty())
    return Read;
  fail(Last, "read", Folder,
       Team.empty() ? "no team's folder stands in it"
                    : "no folder of team " + Team + " stands in it");
  return std::nullopt;
}

bool writeTree(const std::string &Folder,
               const std::map<std::string, std::string> &Documents,
               std::uint64_t Version, base::Error &Last) {
  for (const auto &[Path, Text] : Documents)
    if (!writeText(files::path(Folder) / Path, Text, Last))
      return false;
  return writeVersion(Folder, Version, Last);
}

bool writeVersion(const std::string &Folder, std::uint64_t Version,
                  base::Error &Last) {
  return writeText(files::path(Folder) / VersionFile,
                   std::to_string(Version) + "\n", Last);
}

} // namespace lychee::command
