// Errors of the decoders: the fault and the field.
#include "codec/decode_error.h"

#include <gtest/gtest.h>

#include "codec/cloud_json.h"
#include "codec/job_json.h"
#include "codec/progress_form.h"
#include "codec/state_json.h"
#include "codec/worker_json.h"
#include "peer_rpc/messages.h"

using namespace eiderreel;
using codec::DecodeError;
using codec::DecodeFault;

namespace {

template <class Value>
void expect_error(const codec::Decoded<Value>& decoded, DecodeFault fault,
                  const std::string& field) {
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().fault, fault) << codec::to_string(decoded.error());
  EXPECT_EQ(decoded.error().field, field);
}

TEST(DecodeErrors, NameTheFaultAndTheField) {
  expect_error(codec::parse_catalog("nonsense"), DecodeFault::not_json, "");
  expect_error(codec::parse_catalog("[]"), DecodeFault::not_an_object, "");
  expect_error(codec::parse_catalog("{}"), DecodeFault::missing_or_invalid, "hulls");
  expect_error(codec::parse_catalog(R"({"hulls":[7]})"), DecodeFault::not_an_object, "hulls");
  expect_error(codec::parse_catalog(R"({"hulls":[{"name":"g8"}]})"),
               DecodeFault::missing_or_invalid, "cores");
  expect_error(codec::parse_machines(R"({"hosts":[]})"), DecodeFault::missing_or_invalid, "more");
  expect_error(codec::parse_provisioned(R"({"hosts":5})"), DecodeFault::missing_or_invalid,
               "hosts");
  expect_error(codec::parse_heartbeat(R"({"host":"m-1","shards":[]})"),
               DecodeFault::missing_or_invalid, "endpoint");
}

TEST(DecodeErrors, OfTheStateStoreNameTheField) {
  expect_error(codec::parse_list(R"({"rows":[]})"), DecodeFault::missing_or_invalid, "ledger");
  expect_error(codec::parse_events(R"({"rows":[],"ledger":1})"), DecodeFault::missing_or_invalid,
               "events");
  expect_error(codec::parse_row(R"({"key":"e/part/1"})"), DecodeFault::missing_or_invalid, "stamp");
  expect_error(codec::parse_row(R"({"delete":"e/part/1"})"), DecodeFault::missing_or_invalid,
               "stamp");
  expect_error(codec::parse_lease_id(R"({"tether":-1})"), DecodeFault::missing_or_invalid,
               "tether");
  EXPECT_EQ(codec::parse_store_revision(R"({"ledger":431})").value_or(0), 431U);
}

TEST(DecodeErrors, DistinguishFramesAndBitmaps) {
  expect_error(peer_rpc::decode(""), DecodeFault::not_whole_words, "");
  expect_error(peer_rpc::decode("1234567"), DecodeFault::not_whole_words, "");
  expect_error(peer_rpc::decode(std::string(8, '\xff')), DecodeFault::malformed_message, "");
  expect_error(codec::unpack_roaring("!!!!", 0), DecodeFault::not_base64, "");
  expect_error(codec::unpack_roaring("AAAA", 0), DecodeFault::not_a_bitmap, "");
}

// These texts are returned to users.
TEST(DecodeErrors, KeepTheTextsForUsers) {
  EXPECT_EQ(codec::parse_job("[]").error, "not an object");
  EXPECT_EQ(codec::parse_job("{}").error, "field name_id is missing or invalid");
  EXPECT_EQ(codec::parse_job("").error, "not JSON: The document is empty.");
  EXPECT_EQ(codec::to_string(DecodeError{DecodeFault::invalid, "awaits", ""}),
            "field awaits is invalid");
}

}  // namespace
