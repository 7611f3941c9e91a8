#include <CUnit/Basic.h>
#include <string.h>
#include <talloc.h>

#include "fleet.h"
#include "kumquat/internal/placement_message.h"
#include "unit.h"

#define SERVICE 3

/* A placement under test; the test itself plays the other agents. */
typedef struct
{
  KqPlacement *placement;
  unsigned delivered;
  unsigned forwarded;
  unsigned refused;
  KqErrorKind reason;
  KqPlacementMessage sent;
  unsigned sent_count;
} Bench;

static void
on_send (const KqPeer *to, const uint8_t *bytes, size_t size, void *data)
{
  (void)to;
  Bench *bench = data;
  bench->sent_count++;
  CU_ASSERT (kq_placement_message_decode (bytes, size, &bench->sent, NULL) == 0);
}

static void
on_deliver (const KqPacket *packet, void *data)
{
  (void)packet;
  ((Bench *)data)->delivered++;
}

static void
on_forward (const KqPeer *to, const KqPacket *packet, void *data)
{
  (void)to;
  (void)packet;
  ((Bench *)data)->forwarded++;
}

static void
on_refuse (const KqPacket *packet, KqErrorKind reason, void *data)
{
  (void)packet;
  Bench *bench = data;
  bench->refused++;
  bench->reason = reason;
}

static unsigned
on_load (void *data)
{
  (void)data;
  return 0;
}

static void
on_closed (const KqFlowKey *key, void *data)
{
  (void)key;
  (void)data;
}

static void
see_targets (Bench *bench, unsigned count, uint64_t second_life, KqTime now)
{
  KqService service = { .number = SERVICE };
  KqMember targets[2] = { { .phase = KQ_PHASE_SERVING, .weight = 100, .service = SERVICE } };
  targets[1] = targets[0];
  targets[0].peer = (KqPeer){ .id = 1, .incarnation = 5 };
  targets[1].peer = (KqPeer){ .id = 2, .incarnation = second_life };
  KqServiceView view = { .service = &service, .targets = targets, .count = count };
  kq_placement_set_view (bench->placement, &view, now);
}

static Bench *
bench_new (unsigned flows_max)
{
  static const KqPlacementOps ops = {
    on_send, on_deliver, on_forward, on_refuse, on_load, on_closed
  };
  KqPlacementParams params = { .self = { .id = 1, .incarnation = 5 },
                               .flows_max = flows_max,
                               .directory_max = 1000,
                               .idle_us = 10 * KQ_SECOND,
                               .admit_load = 500 };
  Bench *bench = talloc_zero (NULL, Bench);
  bench->placement = kq_placement_new (bench, &params, &ops, bench);
  return bench;
}

static KqPacket
request (unsigned caller)
{
  KqPacket packet = { .type = KQ_PACKET_REQUEST, .key.service = SERVICE, .to = 5 };
  packet.key.caller.port = (uint16_t)caller;
  packet.key.caller.ip[15] = (uint8_t)caller;
  return packet;
}

static void
give (Bench *bench, const KqPlacementMessage *message, KqTime now)
{
  uint8_t bytes[KQ_MESSAGE_BYTES];
  KqPeer from = { .id = 2, .incarnation = 1 };
  int size = kq_placement_message_encode (message, bytes, sizeof bytes);
  kq_placement_message (bench->placement, &from, bytes, (size_t)size, now, NULL);
}

/* Returns the first caller whose flow's home is this placement; with two targets, few have to be
 * tried. */
static unsigned
caller_homed_here (Bench *bench)
{
  for (unsigned caller = 1;; caller++)
    {
      KqPacket packet = request (caller);
      unsigned forwarded = bench->forwarded;
      kq_placement_packet (bench->placement, &packet, 0);
      if (bench->forwarded == forwarded)
        return caller;
    }
}

static void
test_wrong_service_and_wrong_life_are_refused (void)
{
  Bench *bench = bench_new (10);
  KqPacket packet = request (1);
  kq_placement_packet (bench->placement, &packet, 0);
  CU_ASSERT (bench->refused == 1 && bench->reason == KQ_ERROR_UNAVAILABLE);
  see_targets (bench, 1, 1, 0);
  packet.key.service = SERVICE + 1;
  kq_placement_packet (bench->placement, &packet, 0);
  CU_ASSERT (bench->refused == 2 && bench->reason == KQ_ERROR_WRONG_SERVICE);
  packet = request (1);
  packet.to = 4;
  kq_placement_packet (bench->placement, &packet, 0);
  CU_ASSERT (bench->refused == 3 && bench->reason == KQ_ERROR_STALE);
  CU_ASSERT (bench->delivered == 0);
  talloc_free (bench);
}

static void
test_new_home_waits_for_every_target (void)
{
  Bench *bench = bench_new (10);
  see_targets (bench, 2, 1, 0);
  caller_homed_here (bench);
  CU_ASSERT (bench->delivered == 0 && bench->refused == 0);
  KqPlacementMessage answer = { .type = KQ_MESSAGE_SYNC_ANSWER, .service = SERVICE };
  answer.number = bench->sent.number;
  CU_ASSERT_FATAL (bench->sent.type == KQ_MESSAGE_SYNC_REQUEST);
  answer.next = 77;
  give (bench, &answer, 0);
  CU_ASSERT (bench->delivered == 0 && bench->sent.cursor == 77);
  give (bench, &answer, 0); /* a duplicate of the first page is not taken for the second */
  answer.cursor = 77;
  answer.next = 0;
  give (bench, &answer, 0);
  CU_ASSERT (bench->delivered == 1 && bench->refused == 0);
  talloc_free (bench);
}

static void
test_waiting_ends_with_a_refusal (void)
{
  Bench *bench = bench_new (10);
  see_targets (bench, 2, 1, 0);
  caller_homed_here (bench);
  for (KqTime now = 0; now < 3 * KQ_SECOND; now += 10 * KQ_MS)
    kq_placement_tick (bench->placement, now);
  CU_ASSERT (bench->delivered == 0 && bench->refused == 1);
  CU_ASSERT (bench->reason == KQ_ERROR_UNAVAILABLE);
  CU_ASSERT (kq_placement_stats (bench->placement).datagrams_waiting == 0);
  talloc_free (bench);
}

static void
test_waiting_is_bounded (void)
{
  Bench *bench = bench_new (10);
  see_targets (bench, 2, 1, 0);
  for (unsigned i = 0; i < 60000; i++)
    {
      KqPacket packet = request (i);
      packet.key.caller.ip[15] = 1;
      kq_placement_packet (bench->placement, &packet, 0);
    }
  CU_ASSERT (kq_placement_stats (bench->placement).datagrams_waiting <= 1024);
  CU_ASSERT (bench->refused > 20000 && bench->reason == KQ_ERROR_FULL);
  talloc_free (bench);
}

static void
test_draining_and_full_targets_keep_their_flows (void)
{
  Bench *bench = bench_new (2);
  see_targets (bench, 1, 1, 0);
  KqPacket packets[3] = { request (1), request (2), request (3) };
  for (unsigned i = 0; i < 3; i++)
    kq_placement_packet (bench->placement, &packets[i], 0);
  CU_ASSERT (bench->delivered == 2 && bench->refused == 1 && bench->reason == KQ_ERROR_FULL);
  kq_placement_set_draining (bench->placement, true, 0);
  kq_placement_close (bench->placement, &packets[0].key, 0);
  kq_placement_packet (bench->placement, &packets[2], 0);
  CU_ASSERT (bench->delivered == 2 && bench->refused == 2);
  kq_placement_packet (bench->placement, &packets[1], 0);
  CU_ASSERT (bench->delivered == 3);
  CU_ASSERT (kq_placement_stats (bench->placement).flows_open == 1);
  talloc_free (bench);
}

static void
test_copy_of_a_place_gets_the_same_answer (void)
{
  Bench *bench = bench_new (1);
  see_targets (bench, 2, 1, 0);
  KqPlacementMessage place = { .type = KQ_MESSAGE_PLACE, .service = SERVICE, .flow_count = 1 };
  unsigned caller = 1;
  do /* until this placement is not the home of the bucket */
    {
      place.number++;
      place.load = 1000;
      place.flows[0].caller.port = (uint16_t)caller++;
      give (bench, &place, 0);
    }
  while (bench->sent.type != KQ_MESSAGE_PLACED);
  KqFlowKey key = { .service = SERVICE, .caller = place.flows[0].caller };
  KqPlacementMessage first = place;
  place.number++;
  place.flows[0].caller.ip[0] = 1;
  while (bench->sent.reason != KQ_ERROR_FULL)
    {
      place.number++;
      place.flows[0].caller.port++;
      give (bench, &place, 0);
    }
  kq_placement_close (bench->placement, &key, 0);
  give (bench, &place, 0);
  CU_ASSERT (bench->sent.type == KQ_MESSAGE_REFUSED);
  give (bench, &first, 0);
  CU_ASSERT (bench->sent.type == KQ_MESSAGE_REFUSED && bench->sent.reason == KQ_ERROR_NOT_FOUND);
  CU_ASSERT (kq_placement_stats (bench->placement).flows_open == 0);
  talloc_free (bench);
}

static void
test_flows_of_an_ended_life_are_lost (void)
{
  Bench *bench = bench_new (10);
  see_targets (bench, 2, 1, 0);
  unsigned caller = caller_homed_here (bench);
  KqPlacementMessage answer = { .type = KQ_MESSAGE_SYNC_ANSWER, .service = SERVICE };
  answer.number = bench->sent.number;
  answer.flow_count = 1;
  answer.flows[0].caller = request (caller).key.caller;
  unsigned forwarded = bench->forwarded;
  give (bench, &answer, 0);
  CU_ASSERT (bench->forwarded == forwarded + 1 && bench->delivered == 0);
  see_targets (bench, 2, 2, 0);
  CU_ASSERT (kq_placement_stats (bench->placement).flows_lost == 1);
  KqPacket packet = request (caller);
  kq_placement_packet (bench->placement, &packet, 0);
  CU_ASSERT (bench->delivered == 1);
  give (bench, &answer, 0);
  CU_ASSERT (kq_placement_stats (bench->placement).messages_bad == 1);
  talloc_free (bench);
}

/* Datagrams delivered by each agent of a simulated service in which one target is idle. */
static unsigned taken[KQ_FLEET_AGENTS_MAX];

static void
fleet_deliver (unsigned agent, const KqPacket *packet, void *data)
{
  (void)packet;
  (void)data;
  taken[agent]++;
}

static unsigned
fleet_load (unsigned agent, void *data)
{
  return agent == *(unsigned *)data ? 100 : 2000;
}

static void
test_busy_home_finds_the_idle_target (void)
{
  unsigned idle = 4;
  KqFleetParams params = { .seed = 3,
                           .balancers = 3,
                           .delay = KQ_MS / 2,
                           .deliver = fleet_deliver,
                           .load = fleet_load,
                           .data = &idle };
  params.placement = (KqPlacementParams){ .flows_max = 2000,
                                          .directory_max = 2000,
                                          .idle_us = 10 * KQ_SECOND,
                                          .admit_load = 800,
                                          .ask_max = 6 };
  KqFleet *fleet = kq_fleet_new (NULL, &params);
  for (unsigned i = 0; i < 7; i++)
    kq_fleet_join (fleet, 100);
  kq_fleet_run (fleet, KQ_SECOND);
  for (unsigned i = 0; i < 1000; i++)
    {
      KqFlowKey key = { .service = 1, .caller.port = (uint16_t)(1 + i) };
      key.caller.ip[15] = (uint8_t)i;
      kq_fleet_send (fleet, &key, i);
      kq_fleet_run (fleet, kq_fleet_now (fleet) + 5 * KQ_MS);
    }
  CU_ASSERT (taken[idle] == 1000);
  talloc_free (fleet);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "wrong service and wrong incarnation are refused",
      test_wrong_service_and_wrong_life_are_refused },
    { "new home waits for every target", test_new_home_waits_for_every_target },
    { "queued datagrams are refused after a timeout", test_waiting_ends_with_a_refusal },
    { "queue of waiting datagrams is bounded", test_waiting_is_bounded },
    { "draining and full targets keep their flows",
      test_draining_and_full_targets_keep_their_flows },
    { "duplicate place request gets the same answer", test_copy_of_a_place_gets_the_same_answer },
    { "flows of an ended incarnation are lost", test_flows_of_an_ended_life_are_lost },
    { "busy home finds the idle target", test_busy_home_finds_the_idle_target },
  };
  return kq_unit_run ("placement", tests, sizeof tests / sizeof tests[0]);
}
