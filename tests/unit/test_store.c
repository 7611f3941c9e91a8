/* Tests the store client against a simulated store. Test cases without injected faults can also run
 * against a real store: KQ_STORE_ADDRESS=127.0.0.1:2379 build/asan/tests/test_store. */

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/store.h"
#include "store_server.h"
#include "unit.h"

#define TIMEOUT_US (200 * KQ_MS) /* for tests that wait for a call to time out */
#define LONG_TIMEOUT_US                                                                            \
  (60 * KQ_SECOND) /* for tests in which no call may time out, even on a slow machine */

/**
 * struct Got - results recorded by the callback
 */
typedef struct
{
  unsigned calls;
  unsigned failures;
  KqErrorKind kind;
  uint64_t revision;
  uint64_t cluster_id;
  unsigned count;
  uint64_t mod_revision;
  char text[64];
} Received;

static struct tevent_context *ev;
static StoreServer *server;
static KqStore *store;
static KqAddress address;
static char prefix[64];

static void
on_reply (const KqStoreReply *reply, void *data)
{
  Received *received = data;
  received->calls++;
  received->failures += reply->error.kind != KQ_ERROR_NONE;
  received->kind = reply->error.kind;
  received->revision = reply->revision;
  received->cluster_id = reply->cluster_id;
  received->count = reply->count;
  if (reply->count == 0)
    return;
  const KqStoreValue *last = &reply->values[reply->count - 1];
  received->mod_revision = last->mod_revision;
  snprintf (received->text, sizeof received->text, "%.*s", (int)last->size,
            (const char *)last->bytes);
}

static bool
set_up (void)
{
  const char *real = getenv ("KQ_STORE_ADDRESS");
  ev = tevent_context_init (NULL);
  server = NULL;
  kq_address_parse (real == NULL ? "127.0.0.1:0" : real, &address, NULL);
  snprintf (prefix, sizeof prefix, "/kq-test/%ld/%p/", (long)getpid (), (void *)ev);
  if (real == NULL)
    {
      server = store_server_new (ev, ev, &address, NULL, NULL);
      address.port = store_server_port (server);
    }
  store = kq_store_new (ev, ev, &address, 1, TIMEOUT_US, NULL, NULL);
  return server != NULL;
}

static void
tear_down (void)
{
  talloc_free (ev);
}

static void
wait_calls (const Received *received, unsigned calls)
{
  while (received->calls < calls)
    tevent_loop_once (ev);
}

static Received
read_all (void)
{
  Received received = { 0 };
  kq_store_read (store, prefix, on_reply, &received);
  wait_calls (&received, 1);
  return received;
}

static Received
write_key (const char *name, const char *text, uint64_t expected)
{
  Received received = { 0 };
  char key[96];
  snprintf (key, sizeof key, "%s%s", prefix, name);
  KqStoreWrite write = { key, (const uint8_t *)text, strlen (text), expected };
  kq_store_write (store, &write, 1, on_reply, &received);
  wait_calls (&received, 1);
  return received;
}

static void
test_compare_and_swap (void)
{
  set_up ();
  CU_ASSERT (write_key ("a", "one", 0).kind == KQ_ERROR_NONE);
  Received received = read_all ();
  CU_ASSERT (received.count == 1 && strcmp (received.text, "one") == 0 && received.cluster_id != 0);
  Received conflict = write_key ("a", "two", 0);
  CU_ASSERT (conflict.kind == KQ_ERROR_CONFLICT);
  CU_ASSERT (conflict.count == 1 && conflict.mod_revision == received.mod_revision);
  CU_ASSERT (write_key ("a", "two", received.mod_revision).kind == KQ_ERROR_NONE);
  CU_ASSERT (write_key ("a", "three", received.mod_revision).kind == KQ_ERROR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (read_all ().text, "two");
  tear_down ();
}

static void
test_transaction_is_atomic (void)
{
  char keys[2][96];
  Received received = { 0 };
  set_up ();
  write_key ("b", "old", 0);
  snprintf (keys[0], sizeof keys[0], "%sa", prefix);
  snprintf (keys[1], sizeof keys[1], "%sb", prefix);
  KqStoreWrite writes[] = { { keys[0], (const uint8_t *)"new", 3, 0 },
                            { keys[1], (const uint8_t *)"new", 3, 0 } };
  kq_store_write (store, writes, 2, on_reply, &received);
  wait_calls (&received, 1);
  CU_ASSERT (received.kind == KQ_ERROR_CONFLICT);
  received = read_all ();
  CU_ASSERT (received.count == 1 && strcmp (received.text, "old") == 0);
  tear_down ();
}

static void
test_read_spans_several_pages (void)
{
  char name[16];
  set_up ();
  for (unsigned i = 0; i < 1203; i++)
    {
      snprintf (name, sizeof name, "k%04u", i);
      write_key (name, name, 0);
    }
  Received received = read_all ();
  CU_ASSERT (received.count == 1203);
  CU_ASSERT_STRING_EQUAL (received.text, "k1202");
  tear_down ();
}

static void
test_watch_delivers_all_keys_then_changes (void)
{
  Received received = { 0 };
  set_up ();
  write_key ("a", "one", 0);
  write_key ("b", "two", 0);
  kq_store_watch (store, prefix, on_reply, &received);
  wait_calls (&received, 1);
  CU_ASSERT (received.count == 2);
  write_key ("c", "three", 0);
  wait_calls (&received, 2);
  CU_ASSERT (received.count == 1 && strcmp (received.text, "three") == 0 && received.failures == 0);
  tear_down ();
}

static void
test_reads_individual_keys_in_one_call (void)
{
  char keys[2][96];
  Received received = { 0 };
  set_up ();
  write_key ("a", "one", 0);
  write_key ("ab", "two", 0);
  snprintf (keys[0], sizeof keys[0], "%sa", prefix);
  snprintf (keys[1], sizeof keys[1], "%smissing", prefix);
  const char *wanted[] = { keys[0], keys[1] };
  kq_store_read_keys (store, wanted, 2, on_reply, &received);
  wait_calls (&received, 1);
  CU_ASSERT (received.kind == KQ_ERROR_NONE && received.count == 1 &&
             strcmp (received.text, "one") == 0);
  tear_down ();
}

static void
test_large_value (void)
{
  set_up ();
  size_t size = 900000;
  talloc_free (store);
  store = kq_store_new (ev, ev, &address, 1, LONG_TIMEOUT_US, NULL, NULL);
  char *text = talloc_zero_array (ev, char, size + 1);
  memset (text, 'x', size);
  CU_ASSERT (write_key ("a", text, 0).kind == KQ_ERROR_NONE);
  CU_ASSERT (read_all ().count == 1);
  tear_down ();
}

static void
test_refused_connection_has_no_effect (void)
{
  if (set_up ())
    {
      store_server_admin (server, "down", 1);
      CU_ASSERT (write_key ("a", "one", 0).kind == KQ_ERROR_UNAVAILABLE);
      CU_ASSERT (!kq_store_is_reachable (store));
      CU_ASSERT (read_all ().kind == KQ_ERROR_UNAVAILABLE);
      store_server_admin (server, "down", 0);
      CU_ASSERT (read_all ().count == 0 && kq_store_is_reachable (store));
    }
  tear_down ();
}

static void
test_lost_response_is_unknown_outcome (void)
{
  if (set_up ())
    {
      store_server_admin (server, "lose_answers", 1);
      CU_ASSERT (write_key ("a", "one", 0).kind == KQ_ERROR_UNKNOWN_OUTCOME);
      CU_ASSERT_STRING_EQUAL (read_all ().text, "one");
      store_server_admin (server, "lose_requests", 1);
      CU_ASSERT (write_key ("b", "two", 0).kind == KQ_ERROR_UNKNOWN_OUTCOME);
      CU_ASSERT (read_all ().count == 1);
      store_server_admin (server, "slow", 1000);
      CU_ASSERT (write_key ("c", "three", 0).kind == KQ_ERROR_UNKNOWN_OUTCOME);
      CU_ASSERT (read_all ().kind == KQ_ERROR_UNAVAILABLE);
    }
  tear_down ();
}

static void
test_broken_watch_neither_misses_nor_repeats (void)
{
  Received received = { 0 };
  if (set_up ())
    {
      kq_store_watch (store, prefix, on_reply, &received);
      wait_calls (&received, 1);
      for (unsigned i = 0; i < 3; i++)
        {
          char name[8];
          snprintf (name, sizeof name, "k%u", i);
          store_server_admin (server, "break_watches", 1);
          write_key (name, name, 0);
          wait_calls (&received, 2 + i);
          CU_ASSERT (received.count == 1 && strcmp (received.text, name) == 0);
        }
      CU_ASSERT (received.failures == 0);
    }
  tear_down ();
}

static void
test_compacted_watch_reads_all_keys_again (void)
{
  Received received = { 0 };
  if (set_up ())
    {
      write_key ("a", "one", 0);
      kq_store_watch (store, prefix, on_reply, &received);
      wait_calls (&received, 1);
      store_server_admin (server, "mute_watches", 1);
      write_key ("b", "two", 0);
      store_server_admin (server, "compact", 1);
      store_server_admin (server, "mute_watches", 0);
      store_server_admin (server, "break_watches", 1);
      wait_calls (&received, 2);
      CU_ASSERT (received.count == 2 && received.failures == 0);
    }
  tear_down ();
}

static void
test_restored_store_is_detected_by_cluster_id (void)
{
  Received received = { 0 };
  if (set_up ())
    {
      write_key ("a", "one", 0);
      store_server_admin (server, "snapshot", 1);
      write_key ("b", "two", 0);
      kq_store_watch (store, prefix, on_reply, &received);
      wait_calls (&received, 1);
      Received before = received;
      store_server_admin (server, "restore", 1);
      wait_calls (&received, 2);
      CU_ASSERT (received.cluster_id != before.cluster_id && received.revision < before.revision);
      CU_ASSERT (received.count == 1 && strcmp (received.text, "one") == 0);
    }
  tear_down ();
}

static void
test_outage_is_reported_once (void)
{
  Received received = { 0 };
  if (set_up ())
    {
      kq_store_watch (store, prefix, on_reply, &received);
      wait_calls (&received, 1);
      store_server_admin (server, "down", 1);
      wait_calls (&received, 2);
      CU_ASSERT (received.failures == 1 && received.kind == KQ_ERROR_UNAVAILABLE);
      store_server_admin (server, "down", 0);
      address.port = store_server_port (server);
      write_key ("a", "one", 0);
      wait_calls (&received, 3);
      CU_ASSERT (received.failures == 1 && received.count == 1);
    }
  tear_down ();
}

static void
test_watch_without_notifications_is_detected (void)
{
  Received received = { 0 };
  if (set_up ())
    {
      kq_store_watch (store, prefix, on_reply, &received);
      wait_calls (&received, 1);
      store_server_admin (server, "mute_watches", 1);
      write_key ("a", "one", 0);
      store_server_admin (server, "mute_watches", 0);
      wait_calls (&received, 2);
      CU_ASSERT (received.count == 1 && received.failures == 0);
    }
  tear_down ();
}

static void
test_frees_during_the_read_of_a_watch (void)
{
  Received received = { 0 };
  set_up ();
  kq_store_watch (store, prefix, on_reply, &received);
  tear_down ();
  CU_ASSERT (received.calls == 0);
}

static void
test_frees_with_calls_in_progress (void)
{
  Received received = { 0 };
  set_up ();
  kq_store_watch (store, prefix, on_reply, &received);
  wait_calls (&received, 1);
  kq_store_read (store, prefix, on_reply, &received);
  tevent_loop_once (ev);
  tear_down ();
  CU_ASSERT (received.calls <= 2);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "compare and swap", test_compare_and_swap },
    { "transaction is atomic", test_transaction_is_atomic },
    { "read spans several pages", test_read_spans_several_pages },
    { "watch delivers all keys, then changes", test_watch_delivers_all_keys_then_changes },
    { "reads individual keys in one call", test_reads_individual_keys_in_one_call },
    { "large value", test_large_value },
    { "refused connection has no effect", test_refused_connection_has_no_effect },
    { "lost response is unknown outcome", test_lost_response_is_unknown_outcome },
    { "broken watch neither misses nor repeats changes",
      test_broken_watch_neither_misses_nor_repeats },
    { "compacted watch reads all keys again", test_compacted_watch_reads_all_keys_again },
    { "restored store is detected by its cluster id",
      test_restored_store_is_detected_by_cluster_id },
    { "outage is reported once", test_outage_is_reported_once },
    { "watch without notifications is detected", test_watch_without_notifications_is_detected },
    { "frees during the read of a watch", test_frees_during_the_read_of_a_watch },
    { "frees with calls in progress", test_frees_with_calls_in_progress },
  };
  return kq_unit_run ("store", tests, sizeof tests / sizeof tests[0]);
}
