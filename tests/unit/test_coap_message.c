#include <CUnit/Basic.h>
#include <string.h>

#include "kumquat/coap_message.h"
#include "unit.h"

static KqCoapMessage
sample (void)
{
  return (KqCoapMessage){ .type = KQ_COAP_CON,
                          .code = KQ_COAP_POST,
                          .message_id = 0xbeef,
                          .token = { 9, 8, 7 },
                          .token_size = 3,
                          .path = "marks/hall-7",
                          .query = "class=mark&deadline=1500",
                          .observe_present = true,
                          .block1 = { .present = true, .more = true, .szx = 2, .num = 5 },
                          .echo = { 0, 1, 2, 3 },
                          .echo_size = 4,
                          .payload = (const uint8_t *)"7.5",
                          .payload_size = 3 };
}

static void
test_round_trip (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqCoapMessage sent = sample ();
  KqCoapMessage got;
  int size = kq_coap_message_format (&sent, bytes, sizeof bytes);
  CU_ASSERT_FATAL (size > 0);
  CU_ASSERT_FATAL (kq_coap_message_parse (bytes, (size_t)size, &got, NULL) == 0);
  CU_ASSERT (got.type == sent.type && got.code == sent.code);
  CU_ASSERT (got.message_id == 0xbeef && got.token_size == 3);
  CU_ASSERT (memcmp (got.token, sent.token, 3) == 0);
  CU_ASSERT_STRING_EQUAL (got.path, sent.path);
  CU_ASSERT_STRING_EQUAL (got.query, sent.query);
  CU_ASSERT (got.observe_present && got.observe == 0);
  CU_ASSERT (got.block1.num == 5 && got.block1.more && got.block1.szx == 2);
  CU_ASSERT (!got.block2.present && !got.max_age_present && !got.unknown_critical);
  CU_ASSERT (got.echo_size == 4 && memcmp (got.echo, sent.echo, 4) == 0);
  CU_ASSERT (got.payload_size == 3 && memcmp (got.payload, "7.5", 3) == 0);
}

static void
test_rewrite_strips_echo_and_sets_deadline (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  uint8_t out[KQ_DATAGRAM_BYTES];
  KqCoapMessage sent = sample ();
  KqCoapMessage got;
  KqCoapRewrite rewrite = { .type = KQ_COAP_NON,
                            .message_id = 3,
                            .token = { 4 },
                            .token_size = 1,
                            .strip_echo = true,
                            .set_deadline = true,
                            .deadline_ms = 800 };
  int size = kq_coap_message_format (&sent, bytes, sizeof bytes);
  int again = kq_coap_rewrite (bytes, (size_t)size, &rewrite, out, sizeof out);
  CU_ASSERT_FATAL (again > 0);
  CU_ASSERT_FATAL (kq_coap_message_parse (out, (size_t)again, &got, NULL) == 0);
  CU_ASSERT (got.type == KQ_COAP_NON && got.message_id == 3);
  CU_ASSERT (got.token_size == 1 && got.token[0] == 4);
  CU_ASSERT (got.echo_size == 0 && got.block1.num == 5);
  CU_ASSERT_STRING_EQUAL (got.query, "class=mark&deadline=800");
  CU_ASSERT (got.payload_size == 3);
}

static void
test_query_parameters (void)
{
  KqCoapMessage message = { .query = "class=mark&deadline=1500&big=4294967296&mark=" };
  char text[8];
  uint32_t number = 0;
  CU_ASSERT (kq_coap_query_number (&message, KQ_COAP_QUERY_DEADLINE, &number) && number == 1500);
  CU_ASSERT (kq_coap_query_text (&message, "class", text, sizeof text));
  CU_ASSERT_STRING_EQUAL (text, "mark");
  CU_ASSERT (!kq_coap_query_number (&message, "class", &number));
  CU_ASSERT (!kq_coap_query_number (&message, "big", &number));
  CU_ASSERT (!kq_coap_query_number (&message, "mark", &number));
  CU_ASSERT (!kq_coap_query_text (&message, "dead", text, sizeof text));
  CU_ASSERT (!kq_coap_query_text (&message, "class", text, 4));
}

static void
expect_error (const uint8_t *bytes, size_t size, KqErrorKind kind)
{
  KqCoapMessage got;
  KqError error = { 0 };
  CU_ASSERT (kq_coap_message_parse (bytes, size, &got, &error) == -1);
  CU_ASSERT (error.kind == kind);
}

static void
test_malformed_is_rejected (void)
{
  expect_error ((const uint8_t *)"\x40\x01\x00", 3, KQ_ERROR_INVALID);     /* short header */
  expect_error ((const uint8_t *)"\x00\x01\x00\x01", 4, KQ_ERROR_INVALID); /* version 0 */
  expect_error ((const uint8_t *)"\x49\x01\x00\x01zzzzzzzzz", 13, KQ_ERROR_INVALID); /* token */
  expect_error ((const uint8_t *)"\x40\x00\x00\x01\xff!", 6, KQ_ERROR_INVALID);      /* empty */
  expect_error ((const uint8_t *)"\x40\x20\x00\x01", 4, KQ_ERROR_INVALID);           /* code 1.00 */
  expect_error ((const uint8_t *)"\x40\x01\x00\x01\xff", 5, KQ_ERROR_INVALID); /* no payload */
  expect_error ((const uint8_t *)"\x40\x01\x00\x01\xb3"
                                 "a/b",
                8, KQ_ERROR_RANGE);
  expect_error ((const uint8_t *)"\x40\x01\x00\x01\xb3"
                                 "a\0b",
                8, KQ_ERROR_RANGE);
}

static void
test_unknown_options (void)
{
  KqCoapMessage got;
  const uint8_t critical[] = "\x40\x01\x00\x01\x90";
  const uint8_t elective[] = "\x40\x01\x00\x01\xd0\x01";
  const uint8_t twice[] = "\x40\x01\x00\x01\xd1\x0a\x06\x01\x06";
  CU_ASSERT_FATAL (kq_coap_message_parse (critical, sizeof critical - 1, &got, NULL) == 0);
  CU_ASSERT (got.unknown_critical);
  CU_ASSERT_FATAL (kq_coap_message_parse (elective, sizeof elective - 1, &got, NULL) == 0);
  CU_ASSERT (!got.unknown_critical);
  CU_ASSERT_FATAL (kq_coap_message_parse (twice, sizeof twice - 1, &got, NULL) == 0);
  CU_ASSERT (got.block2.present && got.unknown_critical);
}

static void
test_format_rejects_overflow (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqCoapMessage sent = sample ();
  int size = kq_coap_message_format (&sent, bytes, sizeof bytes);
  for (int i = 0; i < size; i++)
    CU_ASSERT (kq_coap_message_format (&sent, bytes, (size_t)i) == -1);
  sent.token_size = KQ_COAP_TOKEN_BYTES + 1;
  CU_ASSERT (kq_coap_message_format (&sent, bytes, sizeof bytes) == -1);
}

static void
test_deadline_is_reduced_on_each_hop (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  uint8_t hop[KQ_DATAGRAM_BYTES];
  uint8_t next[KQ_DATAGRAM_BYTES];
  KqCoapMessage sent = sample ();
  KqCoapMessage got;
  int size = kq_coap_message_format (&sent, bytes, sizeof bytes);
  size = kq_coap_reduce_deadline (bytes, (size_t)size, 300 * KQ_MS, 0, hop, sizeof hop);
  CU_ASSERT_FATAL (size > 0);
  int again = kq_coap_reduce_deadline (hop, (size_t)size, 200 * KQ_MS, 0, next, sizeof next);
  CU_ASSERT_FATAL (again > 0);
  CU_ASSERT_FATAL (kq_coap_message_parse (next, (size_t)again, &got, NULL) == 0);
  CU_ASSERT_STRING_EQUAL (got.query, "class=mark&deadline=1000");
  CU_ASSERT (got.message_id == sent.message_id && got.echo_size == sent.echo_size);
  CU_ASSERT (kq_coap_reduce_deadline (next, (size_t)again, KQ_SECOND, 0, hop, sizeof hop) == 0);
  sent.query[0] = '\0';
  size = kq_coap_message_format (&sent, bytes, sizeof bytes);
  size = kq_coap_reduce_deadline (bytes, (size_t)size, KQ_SECOND, 3 * KQ_SECOND, hop, sizeof hop);
  CU_ASSERT_FATAL (size > 0 && kq_coap_message_parse (hop, (size_t)size, &got, NULL) == 0);
  CU_ASSERT_STRING_EQUAL (got.query, "deadline=2000");
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "round trip", test_round_trip },
    { "rewrite strips Echo and sets the deadline", test_rewrite_strips_echo_and_sets_deadline },
    { "query parameters", test_query_parameters },
    { "malformed messages are rejected", test_malformed_is_rejected },
    { "unknown options", test_unknown_options },
    { "the deadline is reduced on each hop", test_deadline_is_reduced_on_each_hop },
    { "formatting rejects overflow", test_format_rejects_overflow },
  };
  return kq_unit_run ("coap message", tests, sizeof tests / sizeof tests[0]);
}
