#include "relaying/RelayMessages.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace live = lychee::live;
namespace relaying = lychee::relaying;
using namespace std::chrono_literals;

TEST_GROUP(RelayMessages){};

TEST(RelayMessages, aQuestionComesBackAsItWas) {
  relaying::RelayRequest Asked;
  Asked.Known_ = {{"a", 7}, {"b", 0}};
  Asked.StoreUnavailable_ = true;
  base::Error Last;
  const auto Read =
      relaying::decodeQuestion(relaying::encodeQuestion(Asked), Last);
  CHECK(Read.has_value());
  CHECK(Read.value_or(relaying::RelayRequest()).Known_ == Asked.Known_);
  CHECK(Read.value_or(relaying::RelayRequest()).StoreUnavailable_);
}

TEST(RelayMessages, anAnswerComesBackAndSeemsNoFresher) {
  relaying::RelayResponse Told;
  Told.IsSynced_ = true;
  Told.TroubleAge_ = 3s;
  Told.ContactAge_ = 1500us;
  live::ObjectUpdate News;
  News.Kind_ = "targets";
  News.Newest_ = 9;
  News.Age_ = 1500us;
  News.Changes_.Revision_ = 12;
  Json::Value Content;
  Content["slots"] = 3;
  News.Changes_.Objects_ = {{"t1", 8, Content, false}, {"t2", 9, {}, true}};
  Told.Updates_ = {News};
  base::Error Last;
  const auto Maybe = relaying::decodeAnswer(relaying::encodeAnswer(Told), Last);
  CHECK(Maybe.has_value());
  const auto Read = Maybe.value_or(relaying::RelayResponse());
  CHECK(Read.IsSynced_);
  CHECK(Read.TroubleAge_ == Told.TroubleAge_);
  CHECK(Read.ContactAge_.value_or(0ns) >= 1500us);
  LONGS_EQUAL(1, Read.Updates_.size());
  const live::ObjectUpdate &Back = Read.Updates_.front();
  LONGS_EQUAL(9, Back.Newest_);
  LONGS_EQUAL(12, Back.Changes_.Revision_);
  CHECK(Back.Age_.value_or(0ns) >= 1500us);
  LONGS_EQUAL(2, Back.Changes_.Objects_.size());
  CHECK(Back.Changes_.Objects_[0].Content_ == Content);
  LONGS_EQUAL(std::string_view(R"({"slots":3})").size(),
              Back.Changes_.Objects_[0].Bytes_);
  CHECK(Back.Changes_.Objects_[1].Deleted_);
}

TEST(RelayMessages, whatIsNoMessageIsRefusedWithAReason) {
  for (
      const char *Text :
      {"", "[]", "{", "{\"sound\":1}", "{\"sound\":true,\"news\":[1]}",
       "{\"sound\":true,\"news\":{\"a\":{}}}",
       R"({"sound":true,"news":{"a":{"at":1,"newest":1,"objects":[["t"]]}}})"}) {
    base::Error Last;
    CHECK_FALSE(relaying::decodeAnswer(Text, Last).has_value());
    CHECK_FALSE(Last.Reason_.empty());
  }
  base::Error Last;
  CHECK_FALSE(relaying::decodeQuestion("{}", Last).has_value());
}
