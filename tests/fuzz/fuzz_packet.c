/* Decodes every truncation and many seeded mutations of datagrams between instances: the decoder
 * must not read outside the datagram, and what it accepts must be in the stated ranges and
 * encode again. */
#include <stdio.h>
#include <stdlib.h>

#include "fuzz.h"
#include "kumquat/packet.h"

#define MUTATIONS 200000
#define SEED      21

static KqPacket
sample (KqRandom *random)
{
  static const uint8_t payload[64] = "marks";
  KqPacket packet = { .type = (KqPacketType)(1 + kq_random_below (random, 4)),
                      .key.service = (uint32_t)kq_random_next (random),
                      .key.caller.port = (uint16_t)kq_random_next (random),
                      .to = kq_random_next (random),
                      .hops = (unsigned)kq_random_below (random, KQ_HOPS_MAX + 1),
                      .payload = payload,
                      .payload_size = kq_random_below (random, sizeof payload + 1) };
  packet.candidate_count = (unsigned)kq_random_below (random, KQ_CANDIDATES_MAX + 1);
  for (unsigned i = 0; i < packet.candidate_count; i++)
    packet.candidates[i].id = kq_random_next (random);
  return packet;
}

static void
check (const uint8_t *bytes, size_t size)
{
  uint8_t out[2 * KQ_FUZZ_BYTES];
  uint8_t *copy = malloc (size > 0 ? size : 1);
  KqPacket packet;
  if (copy == NULL)
    exit (1);
  memcpy (copy, bytes, size);
  if (kq_packet_decode (copy, size, &packet, NULL) == 0)
    {
      bool inside = packet.payload_size == 0 ||
                    (packet.payload >= copy && packet.payload + packet.payload_size <= copy + size);
      if (!inside || packet.hops > KQ_HOPS_MAX || packet.candidate_count > KQ_CANDIDATES_MAX ||
          kq_packet_encode (&packet, out, sizeof out) < 0)
        {
          fprintf (stderr, "fuzz_packet: accepted a datagram out of range\n");
          exit (1);
        }
    }
  free (copy);
}

int
main (void)
{
  KqRandom random;
  uint8_t bytes[KQ_FUZZ_BYTES];
  kq_random_seed (&random, SEED);
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      KqPacket packet = sample (&random);
      int size = kq_packet_encode (&packet, bytes, sizeof bytes);
      if (size < 0)
        return 1;
      for (int cut = 0; i < 100 && cut <= size; cut++)
        check (bytes, (size_t)cut);
      check (bytes, kq_fuzz_mutate (&random, bytes, (size_t)size));
    }
  printf ("%u mutations\n", MUTATIONS);
  return 0;
}
