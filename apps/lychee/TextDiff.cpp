#include "TextDiff.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

namespace lychee::command {

namespace {

using Lines = std::vector<std::string_view>;

/// The table of common lines takes four bytes a pair: 64 MB at this bound.
/// Larger changes are told as all of the one and all of the other.
constexpr std::size_t PairLimit = std::size_t{16} << 20;

Lines splitLines(std::string_view Text) {
  Lines Split;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    Split.push_back(Text.substr(0, End));
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  }
  return Split;
}

/// Longest common subsequence of the lines between the equal ends.
class LineDiff {
public:
  LineDiff(const Lines &Before, const Lines &After)
      : Before_(Before), After_(After) {}
  LineDiff(const LineDiff &) = delete;
  LineDiff &operator=(const LineDiff &) = delete;

  std::string run() {
    while (Start_ < std::min(Before_.size(), After_.size()) &&
           Before_[Start_] == After_[Start_])
      ++Start_;
    BeforeEnd_ = Before_.size();
    AfterEnd_ = After_.size();
    while (BeforeEnd_ > Start_ && AfterEnd_ > Start_ &&
           Before_[BeforeEnd_ - 1] == After_[AfterEnd_ - 1]) {
      --BeforeEnd_;
      --AfterEnd_;
    }
    fillTable();
    return tell();
  }

private:
  std::uint32_t &cell(std::size_t Left, std::size_t Right) {
    return Table_[(Left - Start_) * (AfterEnd_ - Start_ + 1) + Right - Start_];
  }

  void fillTable() {
    const std::size_t Rows = BeforeEnd_ - Start_ + 1;
    const std::size_t Columns = AfterEnd_ - Start_ + 1;
    if (Rows * Columns > PairLimit)
      return;
    Table_.assign(Rows * Columns, 0);
    for (std::size_t Left = BeforeEnd_; Left-- > Start_;)
      for (std::size_t Right = AfterEnd_; Right-- > Start_;)
        cell(Left, Right) =
            Before_[Left] == After_[Right]
                ? cell(Left + 1, Right + 1) + 1
                : std::max(cell(Left + 1, Right), cell(Left, Right + 1));
  }

  std::string tell() {
    std::string Text;
    std::size_t Left = Start_;
    std::size_t Right = Start_;
    while (Left < BeforeEnd_ || Right < AfterEnd_) {
      if (!Table_.empty() && Left < BeforeEnd_ && Right < AfterEnd_ &&
          Before_[Left] == After_[Right]) {
        ++Left;
        ++Right;
      } else if (removesNext(Left, Right)) {
        addLine(Text, '-', Left, Before_[Left]);
        ++Left;
      } else {
        addLine(Text, '+', Right, After_[Right]);
        ++Right;
      }
    }
    return Text;
  }

  bool removesNext(std::size_t Left, std::size_t Right) {
    if (Left == BeforeEnd_ || Right == AfterEnd_)
      return Left < BeforeEnd_;
    return Table_.empty() || cell(Left + 1, Right) >= cell(Left, Right + 1);
  }

  static void addLine(std::string &Text, char Sign, std::size_t Index,
                      std::string_view Line) {
    Text += Sign;
    Text += std::to_string(Index + 1) + ": ";
    Text += Line;
    Text += '\n';
  }

  const Lines &Before_;
  const Lines &After_;
  std::size_t Start_ = 0;
  std::size_t BeforeEnd_ = 0;
  std::size_t AfterEnd_ = 0;
  std::vector<std::uint32_t> Table_;
};

std::string textAt(const std::map<std::string, std::string> &Documents,
                   const std::string &Path) {
  const auto Entry = Documents.find(Path);
  return Entry == Documents.end() ? std::string() : Entry->second;
}

} // namespace

std::string diffText(std::string_view Before, std::string_view After) {
  const Lines BeforeLines = splitLines(Before);
  const Lines AfterLines = splitLines(After);
  return LineDiff(BeforeLines, AfterLines).run();
}

std::string diffDocuments(const std::map<std::string, std::string> &Before,
                          const std::map<std::string, std::string> &After) {
  std::set<std::string> Paths;
  for (const auto &[Path, Text] : Before)
    Paths.insert(Path);
  for (const auto &[Path, Text] : After)
    Paths.insert(Path);
  std::string Text;
  for (const std::string &Path : Paths) {
    const std::string Different =
        diffText(textAt(Before, Path), textAt(After, Path));
    if (Before.contains(Path) && After.contains(Path) && Different.empty())
      continue;
    const char *What = !Before.contains(Path)  ? " (new)"
                       : !After.contains(Path) ? " (removed)"
                                               : "";
    Text.append("== ").append(Path).append(What).append("\n");
    Text += Different;
  }
  return Text;
}

} // namespace lychee::command
