#include "operations/IniEditor.h"

#include <vector>

namespace lychee::operations {

namespace {

constexpr std::string_view Blanks = " \t\r\n\v\f";

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// \returns the lines of \p Text, each with its line break.
std::vector<std::string_view> splitLines(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    const std::size_t Length =
        End == std::string_view::npos ? Text.size() : End + 1;
    Lines.push_back(Text.substr(0, Length));
    Text.remove_prefix(Length);
  }
  return Lines;
}

bool isHeading(std::string_view Line) { return trimmed(Line).starts_with('['); }

/// \returns whether \p Line is the heading of \p Section.
bool opens(std::string_view Line, SectionName Section) {
  const std::string_view Content = trimmed(Line);
  const std::size_t End = Content.find(']');
  if (!Content.starts_with('[') || End == std::string_view::npos)
    return false;
  const std::string_view Heading = trimmed(Content.substr(1, End - 1));
  return Heading.starts_with(Section.Kind_) &&
         trimmed(Heading.substr(Section.Kind_.size())) == Section.Name_ &&
         Heading.size() > Section.Kind_.size() + Section.Name_.size();
}

bool sets(std::string_view Line, std::string_view Key) {
  const std::size_t Equals = Line.find('=');
  return Equals != std::string_view::npos &&
         trimmed(Line.substr(0, Equals)) == Key;
}

std::size_t findSection(const std::vector<std::string_view> &Lines,
                        SectionName Section) {
  std::size_t Index = 0;
  while (Index < Lines.size() && !opens(Lines[Index], Section))
    ++Index;
  return Index;
}

std::string join(const std::vector<std::string_view> &Lines) {
  std::string Text;
  for (const std::string_view Line : Lines)
    Text += Line;
  return Text;
}

} // namespace

bool hasSection(std::string_view Text, SectionName Section) {
  const std::vector<std::string_view> Lines = splitLines(Text);
  return findSection(Lines, Section) != Lines.size();
}

std::optional<std::string> setEntry(std::string_view Text, SectionName Section,
                                    std::string_view Key,
                                    std::string_view Value) {
  std::vector<std::string_view> Lines = splitLines(Text);
  const std::size_t Heading = findSection(Lines, Section);
  if (Heading == Lines.size())
    return std::nullopt;
  const std::string Entry =
      std::string(Key) + " = " + std::string(Value) + "\n";
  for (std::size_t Index = Heading + 1;
       Index < Lines.size() && !isHeading(Lines[Index]); ++Index)
    if (sets(Lines[Index], Key)) {
      Lines[Index] = Entry;
      return join(Lines);
    }
  std::string Broken(Lines[Heading]);
  if (!Broken.ends_with('\n'))
    Broken += '\n';
  Lines[Heading] = Broken;
  Lines.insert(Lines.begin() + static_cast<std::ptrdiff_t>(Heading) + 1, Entry);
  return join(Lines);
}

} // namespace lychee::operations
