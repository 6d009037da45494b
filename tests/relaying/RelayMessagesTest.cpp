#include "relaying/RelayMessages.h"

#include "CppUTest/TestHarness.h"

namespace base = lychee::base;
namespace live = lychee::live;
namespace relaying = lychee::relaying;
using namespace std::chrono_literals;

TEST_GROUP(RelayMessages){};

TEST(RelayMessages, decodingRestoresTheRequest) {
  relaying::RelayRequest Request;
  Request.Known_ = {{"a", 7}, {"b", 0}};
  Request.StoreUnavailable_ = true;
  base::Error Last;
  const auto Decoded =
      relaying::decodeRequest(relaying::encodeRequest(Request), Last);
  CHECK(Decoded.has_value());
  CHECK(Decoded.value_or(relaying::RelayRequest()).Known_ == Request.Known_);
  CHECK(Decoded.value_or(relaying::RelayRequest()).StoreUnavailable_);
}

TEST(RelayMessages, decodingRestoresTheResponseAndRoundsAgesUp) {
  relaying::RelayResponse Response;
  Response.IsSynced_ = true;
  Response.TroubleAge_ = 3s;
  Response.ContactAge_ = 1500us;
  live::ObjectUpdate Update;
  Update.Kind_ = "targets";
  Update.NewestRevision_ = 9;
  Update.Age_ = 1500us;
  Update.Changes_.Revision_ = 12;
  Json::Value Content;
  Content["slots"] = 3;
  Update.Changes_.Objects_ = {{"t1", 8, Content, false}, {"t2", 9, {}, true}};
  Response.Updates_ = {Update};
  base::Error Last;
  const auto Result =
      relaying::decodeResponse(relaying::encodeResponse(Response), Last);
  CHECK(Result.has_value());
  const auto Decoded = Result.value_or(relaying::RelayResponse());
  CHECK(Decoded.IsSynced_);
  CHECK(Decoded.TroubleAge_ == Response.TroubleAge_);
  CHECK(Decoded.ContactAge_.value_or(0ns) >= 1500us);
  LONGS_EQUAL(1, Decoded.Updates_.size());
  const live::ObjectUpdate &DecodedUpdate = Decoded.Updates_.front();
  CHECK(DecodedUpdate.NewestRevision_ == 9);
  CHECK(DecodedUpdate.Changes_.Revision_ == 12);
  CHECK(DecodedUpdate.Age_.value_or(0ns) >= 1500us);
  LONGS_EQUAL(2, DecodedUpdate.Changes_.Objects_.size());
  CHECK(DecodedUpdate.Changes_.Objects_[0].Content_ == Content);
  LONGS_EQUAL(std::string_view(R"({"slots":3})").size(),
              DecodedUpdate.Changes_.Objects_[0].Bytes_);
  CHECK(DecodedUpdate.Changes_.Objects_[1].Deleted_);
}

TEST(RelayMessages, otherTextsAreRejectedWithAReason) {
  for (
      const char *Text :
      {"", "[]", "{", "{\"sound\":1}", "{\"sound\":true,\"news\":[1]}",
       "{\"sound\":true,\"news\":{\"a\":{}}}",
       R"({"sound":true,"news":{"a":{"at":1,"newest":1,"objects":[["t"]]}}})"}) {
    base::Error Last;
    CHECK_FALSE(relaying::decodeResponse(Text, Last).has_value());
    CHECK_FALSE(Last.Reason_.empty());
  }
  base::Error Last;
  CHECK_FALSE(relaying::decodeRequest("{}", Last).has_value());
}

TEST(RelayMessages, decodingRestoresErasAndObjectsWithoutContent) {
  relaying::RelayResponse Response;
  live::ObjectUpdate Update;
  Update.Kind_ = "targets";
  Update.Changes_.Revision_ = {12, 2};
  live::StoredObject Unchanged{"t1", {8, 2}, {}, false};
  Unchanged.Restored_ = true;
  Unchanged.ContentHash_ = ~std::uint64_t{0};
  live::StoredObject Missing{"t2", {12, 2}, {}, true};
  Missing.Restored_ = true;
  Update.Changes_.Objects_ = {{"t1", {30, 1}, 7, false}, Unchanged, Missing};
  Response.Updates_ = {Update};
  base::Error Last;
  const auto Decoded =
      relaying::decodeResponse(relaying::encodeResponse(Response), Last)
          .value_or(relaying::RelayResponse());
  LONGS_EQUAL(1, Decoded.Updates_.size());
  const live::ObjectBatch &Changes = Decoded.Updates_.front().Changes_;
  CHECK(Changes.Revision_ == live::StoreRevision(12, 2));
  LONGS_EQUAL(3, Changes.Objects_.size());
  CHECK(Changes.Objects_[0].Revision_ == live::StoreRevision(30, 1));
  CHECK_FALSE(Changes.Objects_[0].Restored_);
  CHECK(Changes.Objects_[1].Restored_);
  CHECK(Changes.Objects_[1].ContentHash_ == Unchanged.ContentHash_);
  CHECK(Changes.Objects_[2].Deleted_);
  CHECK_FALSE(Changes.Objects_[2].ContentHash_.has_value());
}

// The parser throws beyond a depth of its own, and the server lost a connection
// with each such message.
TEST(RelayMessages, aMessageOfNestedArraysIsRefused) {
  base::Error Last;
  for (const std::size_t Depth : {300UL, 1100UL, 30'000UL}) {
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    for (const std::string &Text : {Nested, R"({"a":)" + Nested + "}"}) {
      CHECK_FALSE(relaying::decodeRequest(Text, Last).has_value());
      CHECK_FALSE(relaying::decodeResponse(Text, Last).has_value());
    }
  }
}
