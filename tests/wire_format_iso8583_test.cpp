// Checks the bytes of ISO 8583 messages with elements of each format and each form of a length.
#include <doctest/doctest.h>

#include "iso8583/codec.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {

TEST_CASE("ISO 8583 bytes: a financial answer with one bitmap") {
  iso8583::Message message;
  message.mti = iso8583::kFinancialAnswer;
  message.set(2, "6012345678901234");  // LLVAR digits
  message.set(3, "310000");            // fixed digits
  message.set(4, "50000");             // fixed digits, padded with zeros
  message.set(11, "000123");
  message.set(28, "D00000123");              // a sign and digits
  message.set(35, "6012345678901234=2512");  // LLVAR track
  message.set(37, "REF1");                   // fixed letters and digits, padded with spaces
  message.set(39, "00");
  message.set(41, "TERM0001");
  message.set(44, "v=0\r\nx");  // LLVAR text
  message.set(48, "d");         // LLLVAR text
  message.set(52, std::string_view("\x00\x01\x02\x03\xfc\xfd\xfe\xff", 8));
  CHECK(to_hex(iso8583::write(message)) ==
        "0080"              // length
        "30323130"          // type
        "702000102a911000"  // bitmap
        "3136363031323334353637383930313233343331303030303030303030303035303030303030303132334430303030303132"
        "333231363031323334353637383930313233343d3235313252454631202020202020202030305445524d303030313036763d"
        "300d0a783030316400010203fcfdfeff"  // elements
  );
}

TEST_CASE("ISO 8583 bytes: a request with two bitmaps") {
  iso8583::Message message;
  message.mti = iso8583::kReversalAdvice;
  message.set(11, "000123");
  message.set(90, "020000012312020546");  // padded to 42 digits
  message.set(102, "77aa");
  message.set(128, "macmacma");
  CHECK(to_hex(iso8583::write(message)) ==
        "0052"                              // length
        "30343230"                          // type
        "80200000000000000000004004000001"  // bitmaps
        "3030303132333030303030303030303030303030303030303030303030303032303030303031323331323032303534363034"
        "373761616d61636d61636d61"  // elements
  );
}

TEST_CASE("ISO 8583 bytes: the digits of each message type") {
  struct Case {
    iso8583::Mti type;
    const char* text;
  };
  const Case cases[] = {
      {iso8583::kAuthorization, "0100"},  {iso8583::kAuthorizationAnswer, "0110"},
      {iso8583::kFinancial, "0200"},      {iso8583::kFinancialAnswer, "0210"},
      {iso8583::kReversal, "0400"},       {iso8583::kReversalAnswer, "0410"},
      {iso8583::kReversalAdvice, "0420"}, {iso8583::kReversalAdviceAnswer, "0430"},
      {iso8583::kNetwork, "0800"},        {iso8583::kNetworkAnswer, "0810"},
  };
  for (const auto& test_case : cases) {
    iso8583::Message message;
    message.mti = test_case.type;
    CHECK(iso8583::write(message) == std::string("\0\x0c", 2) + test_case.text + std::string(8, '\0'));
  }
}

}  // namespace amberknot::tests
