#include <CUnit/Basic.h>
#include <string.h>

#include "kumquat/packet.h"
#include "unit.h"

static KqPacket
sample (void)
{
  KqPacket packet = { .type = KQ_PACKET_REQUEST, .key.service = 7, .to = 9, .hops = 2 };
  kq_address_parse ("127.0.0.1:4000", &packet.key.caller, NULL);
  kq_address_parse ("[::1]:9", &packet.via, NULL);
  packet.candidate_count = 2;
  packet.candidates[1].id = UINT64_MAX;
  packet.payload = (const uint8_t *)"hello";
  packet.payload_size = 5;
  return packet;
}

static void
test_round_trip (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqPacket sent = sample ();
  KqPacket got;
  int size = kq_packet_encode (&sent, bytes, sizeof bytes);
  CU_ASSERT_FATAL (size > 0);
  CU_ASSERT_FATAL (kq_packet_decode (bytes, (size_t)size, &got, NULL) == 0);
  CU_ASSERT (kq_flow_key_equal (&sent.key, &got.key));
  CU_ASSERT (kq_address_equal (&sent.via, &got.via));
  CU_ASSERT (got.to == 9 && got.hops == 2 && got.candidate_count == 2);
  CU_ASSERT (got.candidates[1].id == UINT64_MAX);
  CU_ASSERT (got.payload_size == 5 && memcmp (got.payload, "hello", 5) == 0);
}

static void
test_every_truncation_is_refused (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqPacket sent = sample ();
  int size = kq_packet_encode (&sent, bytes, sizeof bytes);
  for (int i = 0; i < size; i++)
    {
      KqPacket got;
      KqError error = { 0 };
      CU_ASSERT (kq_packet_decode (bytes, (size_t)i, &got, &error) == -1);
      CU_ASSERT (error.kind == KQ_ERROR_INVALID);
    }
}

static void
test_other_version_is_refused (void)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqPacket sent = sample ();
  KqPacket got;
  KqError error = { 0 };
  int size = kq_packet_encode (&sent, bytes, sizeof bytes);
  bytes[0] = KQ_PACKET_VERSION + 1;
  CU_ASSERT (kq_packet_decode (bytes, (size_t)size, &got, &error) == -1);
  CU_ASSERT (error.kind == KQ_ERROR_RANGE);
}

static void
test_container_is_refused_before_it_allocates (void)
{
  const uint8_t bytes[] = { KQ_PACKET_VERSION, 0xdd, 0xff, 0xff, 0xff, 0xff };
  KqPacket got;
  CU_ASSERT (kq_packet_decode (bytes, sizeof bytes, &got, NULL) == -1);
}

static void
test_encode_refuses_overflow (void)
{
  uint8_t bytes[32];
  KqPacket sent = sample ();
  CU_ASSERT (kq_packet_encode (&sent, bytes, sizeof bytes) == -1);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "round trip", test_round_trip },
    { "every truncation is refused", test_every_truncation_is_refused },
    { "other version is refused", test_other_version_is_refused },
    { "container is refused", test_container_is_refused_before_it_allocates },
    { "encode refuses overflow", test_encode_refuses_overflow },
  };
  return kq_unit_run ("packet", tests, sizeof tests / sizeof tests[0]);
}
