#ifndef LYCHEE_SETTINGS_SECTIONREADER_H
#define LYCHEE_SETTINGS_SECTIONREADER_H

#include "settings/IniDocument.h"
#include "settings/Values.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::settings {

/// Whether a key must stand in its section.
enum class Need { Required, Optional };

/// The smallest and the largest value that a key takes.
template <typename Value> struct Bounds {
  Value Low_;
  Value High_;
};

/// Reads one section key by key into the members of an aggregate, and notes a
/// problem for each key that is absent, doubled, unknown or out of bounds. A
/// member keeps its default where its key does not stand or is wrong.
class SectionReader {
public:
  SectionReader(const IniSection &Section, std::string_view File,
                Problems &Found);

  SectionReader(const SectionReader &) = delete;
  SectionReader &operator=(const SectionReader &) = delete;

  void count(std::string_view Key, std::uint32_t &Into,
             Bounds<std::uint32_t> Allowed, Need Needed = Need::Optional);
  void number(std::string_view Key, double &Into, Bounds<double> Allowed,
              Need Needed = Need::Optional);
  void duration(std::string_view Key, base::Duration &Into,
                Bounds<base::Duration> Allowed, Need Needed = Need::Optional);
  void size(std::string_view Key, std::uint64_t &Into,
            Bounds<std::uint64_t> Allowed, Need Needed = Need::Optional);
  void bitRate(std::string_view Key, std::uint64_t &Into,
               Need Needed = Need::Required);
  void yesNo(std::string_view Key, bool &Into);
  void wallTime(std::string_view Key, base::WallPoint &Into);

  /// An IPv4 address without a port; may be absent.
  void address(std::string_view Key, std::string &Into);
  /// An address to listen at; port 0 takes any free port.
  void listener(std::string_view Key, Endpoint &Into);
  /// An address to connect to.
  void peer(std::string_view Key, Endpoint &Into);
  void peers(std::string_view Key, std::vector<Endpoint> &Into);

  /// \returns the index of the value in \p Allowed.
  std::size_t choice(std::string_view Key,
                     std::span<const std::string_view> Allowed,
                     std::size_t Default);

  /// A secret or a hash of one: \p Length bytes. Problems tell its length and
  /// never the value, as someone may have pasted the secret itself.
  void secret(std::string_view Key, std::string &Into,
              Bounds<std::size_t> Length, Need Needed = Need::Required);
  void hexadecimal(std::string_view Key, std::string &Into,
                   Bounds<std::size_t> Length, Need Needed = Need::Required);

  template <typename Kind>
  void name(std::string_view Key, base::Id<Kind> &Into) {
    if (const IniEntry *Entry = find(Key, Need::Required); Entry != nullptr)
      if (checkName(*Entry, Entry->Value_))
        Into = base::Id<Kind>(Entry->Value_);
  }

  template <typename Kind>
  void names(std::string_view Key, std::vector<base::Id<Kind>> &Into) {
    for (const std::string_view Word : words(Key, Need::Required))
      if (checkName(*find(Key, Need::Required), Word))
        Into.emplace_back(Word);
  }

  /// \returns the blank-separated words of a key; empty where it is absent.
  std::vector<std::string_view> words(std::string_view Key, Need Needed);

  /// \returns the one entry of \p Key, or null; doubled keys are a problem.
  const IniEntry *find(std::string_view Key, Need Needed);

  /// \returns every entry of a key that may stand more than once.
  std::vector<const IniEntry *> findAll(std::string_view Key);

  /// Notes a problem with the value of \p Entry.
  void reject(const IniEntry &Entry, std::string_view Allowed);
  void reject(const IniEntry &Entry, std::string_view Shown,
              std::string_view Allowed);

  /// Notes a problem with the section as a whole.
  void rejectSection(std::string_view Shown, std::string_view Allowed);

  /// Notes each key that nobody asked for. To be called last.
  void finish();

private:
  bool checkName(const IniEntry &Entry, std::string_view Word);
  void note(int Line, std::string_view Key, std::string_view Shown,
            std::string_view Allowed);
  std::string label() const;
  bool isKnown(std::string_view Key) const;

  const IniSection &Section_;
  std::string_view File_;
  Problems &Found_;
  std::vector<std::string> Known_;
};

} // namespace lychee::settings

#endif
