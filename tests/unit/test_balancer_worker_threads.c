#include <CUnit/Basic.h>
#include <poll.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/balancer_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/udp_socket.h"
#include "unit.h"

#define CALLERS       16
#define REQUESTS      50
#define WORKERS       3
#define WAIT_MS       10000
#define RETRY_MS      200
#define DATA_PORT     15800
#define SERVICE_PORT  15801
#define SERVICE       4
#define UNKNOWN_BYTES 5

/**
 * struct Bench - a forwarder with workers, and one agent that the test simulates
 */
typedef struct
{
  KqForwarder forwarder;
  KqBalancerWorker *workers[WORKERS];
  KqServiceCatalog *catalog;
  KqMember agent;
  KqAddress service;
  int agent_fd;
} Bench;

static void
swap_routes (Bench *bench, unsigned members)
{
  KqRoutes *fresh = kq_routes_new (bench->catalog, bench->catalog, &bench->agent, members,
                                   bench->forwarder.routes);
  pthread_rwlock_wrlock (&bench->forwarder.routes_lock);
  KqRoutes *old = bench->forwarder.routes;
  bench->forwarder.routes = fresh;
  pthread_rwlock_unlock (&bench->forwarder.routes_lock);
  atomic_fetch_add (&bench->forwarder.routes_version, 1);
  talloc_free (old);
  for (unsigned i = 0; i < WORKERS; i++)
    kq_balancer_worker_wake (bench->workers[i]);
}

static Bench *
bench_new (void)
{
  Bench *bench = talloc_zero (NULL, Bench);
  KqService service = {
    .number = SERVICE, .revision = { 1, 1 }, .name = "s", .port = SERVICE_PORT
  };
  bench->forwarder.data = kq_unit_address (1, DATA_PORT);
  bench->agent.peer.data = kq_unit_address (2, DATA_PORT);
  bench->service = bench->forwarder.data;
  bench->service.port = SERVICE_PORT;
  bench->agent.peer.id = 1;
  bench->agent.peer.incarnation = 1;
  bench->agent.role = KQ_ROLE_AGENT;
  bench->agent.phase = KQ_PHASE_SERVING;
  bench->agent.weight = 100;
  bench->agent.service = SERVICE;
  bench->agent_fd = kq_udp_open (&bench->agent.peer.data, false, NULL);
  CU_ASSERT_FATAL (bench->agent_fd >= 0);
  pthread_rwlock_init (&bench->forwarder.routes_lock, NULL);
  bench->catalog = kq_service_catalog_new (bench);
  kq_service_catalog_store (bench->catalog, &service);
  bench->forwarder.flows = kq_flow_table_new (bench, 1000, 4, KQ_SECOND * 60);
  for (unsigned i = 0; i < WORKERS; i++)
    {
      bench->workers[i] = kq_balancer_worker_new (bench, &bench->forwarder, NULL);
      CU_ASSERT_FATAL (bench->workers[i] != NULL);
    }
  swap_routes (bench, 1);
  return bench;
}

static void
bench_free (Bench *bench)
{
  for (unsigned i = 0; i < WORKERS; i++)
    TALLOC_FREE (bench->workers[i]);
  pthread_rwlock_destroy (&bench->forwarder.routes_lock);
  close (bench->agent_fd);
  talloc_free (bench);
}

/* Answers every request with its own payload. */
static void
play_agent (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  Bench *bench = data;
  KqPacket packet;
  uint8_t out[KQ_DATAGRAM_BYTES];
  CU_ASSERT_FATAL (kq_packet_decode (bytes, size, &packet, NULL) == 0);
  CU_ASSERT (packet.type == KQ_PACKET_REQUEST && packet.key.service == SERVICE);
  CU_ASSERT (packet.to == bench->agent.peer.incarnation);
  packet.type = KQ_PACKET_ANSWER;
  packet.from = bench->agent.peer;
  int length = kq_packet_encode (&packet, out, sizeof out);
  kq_udp_send (bench->agent_fd, from, out, (size_t)length);
}

static void
take_answer (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  unsigned *got = data;
  (void)from;
  CU_ASSERT (size == sizeof *got);
  memcpy (got, bytes, sizeof *got);
}

/* Sends one request and waits for its answer; resends it every RETRY_MS, since a worker may not
 * have opened its service port yet. */
static void
exchange (Bench *bench, int caller, unsigned number)
{
  unsigned got = UINT32_MAX;
  KqTime end = kq_clock_now () + WAIT_MS * KQ_MS;
  KqTime sent = 0;
  while (got != number && kq_clock_now () < end)
    {
      if (kq_clock_now () - sent > RETRY_MS * KQ_MS)
        {
          sent = kq_clock_now ();
          kq_udp_send (caller, NULL, (const uint8_t *)&number, sizeof number);
        }
      struct pollfd ready[2] = { { .fd = bench->agent_fd, .events = POLLIN },
                                 { .fd = caller, .events = POLLIN } };
      poll (ready, 2, RETRY_MS);
      kq_udp_receive (bench->agent_fd, play_agent, bench);
      kq_udp_receive (caller, take_answer, &got);
    }
  CU_ASSERT (got == number);
}

static void
test_answers_reach_their_caller_while_routes_change (void)
{
  Bench *bench = bench_new ();
  int callers[CALLERS];
  for (unsigned i = 0; i < CALLERS; i++)
    callers[i] = kq_udp_connect (&bench->service, NULL);
  for (unsigned i = 0; i < REQUESTS; i++)
    for (unsigned j = 0; j < CALLERS; j++)
      {
        exchange (bench, callers[j], i * CALLERS + j);
        if (j % 5 == 0)
          swap_routes (bench, 1);
      }
  KqFlowTableStats stats = kq_flow_table_stats (bench->forwarder.flows);
  CU_ASSERT (stats.entries == CALLERS);
  CU_ASSERT (stats.hits > 0);
  for (unsigned i = 0; i < CALLERS; i++)
    close (callers[i]);
  bench_free (bench);
}

static uint64_t
wait_for (_Atomic uint64_t *counter, uint64_t least)
{
  KqTime end = kq_clock_now () + WAIT_MS * KQ_MS;
  while (atomic_load (counter) < least && kq_clock_now () < end)
    poll (NULL, 0, 1);
  return atomic_load (counter);
}

static void
test_bad_datagrams_are_counted_and_dropped (void)
{
  Bench *bench = bench_new ();
  int sender = kq_udp_connect (&bench->forwarder.data, NULL);
  int caller = kq_udp_connect (&bench->service, NULL);
  static const uint8_t huge[KQ_DATAGRAM_BYTES * 2];
  KqPacket packet = { .type = KQ_PACKET_ANSWER, .key.service = SERVICE + 1 };
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  exchange (bench, caller, 1);
  kq_udp_send (sender, NULL, huge, sizeof huge);
  kq_udp_send (sender, NULL, huge, UNKNOWN_BYTES);
  CU_ASSERT (wait_for (&bench->forwarder.counters.malformed, 2) == 2);
  int size = kq_packet_encode (&packet, bytes, sizeof bytes);
  kq_udp_send (sender, NULL, bytes, (size_t)size);
  CU_ASSERT (wait_for (&bench->forwarder.counters.unknown_service, 1) == 1);
  exchange (bench, caller, 2);
  close (sender);
  close (caller);
  bench_free (bench);
}

static void
test_without_target_requests_are_counted (void)
{
  Bench *bench = bench_new ();
  int caller = kq_udp_connect (&bench->service, NULL);
  exchange (bench, caller, 1);
  swap_routes (bench, 0);
  kq_udp_send (caller, NULL, (const uint8_t *)"12345", UNKNOWN_BYTES);
  CU_ASSERT (wait_for (&bench->forwarder.counters.no_target, 1) == 1);
  close (caller);
  bench_free (bench);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "answers reach their caller while routes change",
      test_answers_reach_their_caller_while_routes_change },
    { "bad datagrams are counted and dropped", test_bad_datagrams_are_counted_and_dropped },
    { "without a target requests are counted", test_without_target_requests_are_counted },
  };
  return kq_unit_run ("balancer worker", tests, sizeof tests / sizeof tests[0]);
}
