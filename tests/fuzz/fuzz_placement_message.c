/* Feeds mutated placement messages to a placement, which must not crash, and checks that a valid
 * message decodes to what was encoded. */

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/placement_message.h"
#include "kumquat/random.h"

#define ROUNDS 60000

static void
on_send (const KqPeer *to, const uint8_t *bytes, size_t size, void *data)
{
  (void)to;
  (void)bytes;
  (void)size;
  (void)data;
}

static void
on_packet (const KqPacket *packet, void *data)
{
  (void)packet;
  (void)data;
}

static void
on_forward (const KqPeer *to, const KqPacket *packet, void *data)
{
  (void)to;
  (void)packet;
  (void)data;
}

static void
on_refuse (const KqPacket *packet, KqErrorKind reason, void *data)
{
  (void)packet;
  (void)reason;
  (void)data;
}

static unsigned
on_load (void *data)
{
  (void)data;
  return 900;
}

static void
on_closed (const KqFlowKey *key, void *data)
{
  (void)key;
  (void)data;
}

static KqPlacement *
new_placement (KqTime now)
{
  static const KqPlacementOps ops = {
    on_send, on_packet, on_forward, on_refuse, on_load, on_closed
  };
  KqPlacementParams params = { .self = { .id = 1, .incarnation = 1 },
                               .flows_max = 50,
                               .directory_max = 50,
                               .idle_us = KQ_SECOND,
                               .admit_load = 500 };
  KqService service = { .number = 3 };
  KqMember targets[3] = { { .phase = KQ_PHASE_SERVING, .weight = 100 } };
  for (unsigned i = 0; i < 3; i++)
    {
      targets[i] = targets[0];
      targets[i].peer = (KqPeer){ .id = i + 1, .incarnation = 1 };
    }
  KqServiceView view = { .service = &service, .targets = targets, .count = 3 };
  KqPlacement *placement = kq_placement_new (NULL, &params, &ops, NULL);
  kq_placement_set_view (placement, &view, now);
  return placement;
}

static KqPlacementMessage
random_message (KqRandom *random)
{
  KqPlacementMessage message = { .service = 3 };
  message.type = (KqPlacementMessageType)(1 + kq_random_below (random, KQ_MESSAGE_NOT_OWNED));
  message.number = kq_random_below (random, 40);
  message.load = (unsigned)kq_random_below (random, 2000);
  message.cursor = kq_random_below (random, 2) == 0 ? 0 : kq_random_next (random);
  message.next = kq_random_below (random, 2) == 0 ? 0 : kq_random_next (random);
  for (unsigned i = 0; i < sizeof message.buckets; i++)
    message.buckets[i] = (uint8_t)kq_random_next (random);
  message.peer_count = (unsigned)kq_random_below (random, KQ_MESSAGE_PEERS_MAX + 1);
  for (unsigned i = 0; i < message.peer_count; i++)
    message.peers[i] = (KqPeer){ .id = kq_random_next (random) % 9 + 1, .incarnation = 1 };
  message.flow_count = (unsigned)kq_random_below (random, KQ_MESSAGE_FLOWS_MAX + 1);
  for (unsigned i = 0; i < message.flow_count; i++)
    {
      message.flows[i].caller.port = (uint16_t)kq_random_below (random, 300);
      message.flows[i].owner = (unsigned)kq_random_below (random, message.peer_count + 1);
    }
  return message;
}

int
main (void)
{
  KqRandom random;
  kq_random_seed (&random, 1);
  KqTime now = KQ_SECOND;
  KqPlacement *placement = new_placement (now);
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      uint8_t bytes[KQ_MESSAGE_BYTES];
      KqPlacementMessage message = random_message (&random);
      KqPlacementMessage decoded;
      int size = kq_placement_message_encode (&message, bytes, sizeof bytes);
      if (size < 0 || kq_placement_message_decode (bytes, (size_t)size, &decoded, NULL) < 0 ||
          decoded.flow_count != message.flow_count || decoded.number != message.number)
        {
          fprintf (stderr, "round %u: a valid message does not decode to what was encoded\n",
                   round);
          return 1;
        }
      for (uint64_t i = kq_random_below (&random, 4); i > 0; i--)
        bytes[kq_random_below (&random, (uint64_t)size)] ^= (uint8_t)kq_random_next (&random);
      if (kq_random_below (&random, 8) == 0)
        size = (int)kq_random_below (&random, (uint64_t)size);
      KqPeer from = { .id = 1 + kq_random_below (&random, 5), .incarnation = 1 };
      KqPacket packet = { .type = KQ_PACKET_REQUEST, .key.service = 3, .payload = bytes };
      packet.key.caller.port = (uint16_t)kq_random_below (&random, 300);
      packet.payload_size = 8;
      kq_placement_message (placement, &from, bytes, (size_t)size, now, NULL);
      kq_placement_packet (placement, &packet, now);
      now += (KqTime)kq_random_below (&random, 5 * KQ_MS);
      kq_placement_tick (placement, now);
    }
  printf ("%u placement messages\n", ROUNDS);
  talloc_free (placement);
  return 0;
}
