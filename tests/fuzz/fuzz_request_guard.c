/* Fuzzes a request guard with mutated datagrams of callers and targets. Checks for memory errors,
 * that no POST is sent to the target before the guard has issued an Echo value, and that every
 * datagram sent by the guard is well formed. */
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "fuzz.h"
#include "kumquat/coap_message.h"
#include "kumquat/request_guard.h"

#define STEPS    200000
#define SEED     22
#define CAPTURED 16

/* Datagrams sent by the guard, from which later inputs are derived. */
typedef struct
{
  uint8_t bytes[CAPTURED][KQ_FUZZ_BYTES];
  size_t sizes[CAPTURED];
  unsigned next;
} Captured;

typedef struct
{
  Captured to_target;
  Captured to_caller;
  bool echo_given;
  uint64_t posts;
} Fuzz;

static void
capture (Captured *captured, const uint8_t *bytes, size_t size)
{
  KqCoapMessage message;
  if (kq_coap_message_parse (bytes, size, &message, NULL) < 0)
    {
      fprintf (stderr, "fuzz_request_guard: sent a malformed datagram\n");
      exit (1);
    }
  memcpy (captured->bytes[captured->next], bytes, size);
  captured->sizes[captured->next] = size;
  captured->next = (captured->next + 1) % CAPTURED;
}

static void
to_target (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  Fuzz *fuzz = data;
  (void)key;
  capture (&fuzz->to_target, bytes, size);
  if (bytes[1] != KQ_COAP_POST)
    return;
  fuzz->posts++;
  if (!fuzz->echo_given)
    {
      fprintf (stderr, "fuzz_request_guard: a POST ran without an Echo value\n");
      exit (1);
    }
}

static void
to_caller (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  (void)key;
  capture (&((Fuzz *)data)->to_caller, bytes, size);
}

static void
finished (const KqFlowKey *key, KqTime latency, bool answered, void *data)
{
  (void)key;
  (void)latency;
  (void)answered;
  (void)data;
}

static KqCoapMessage
random_request (KqRandom *random)
{
  KqCoapMessage message = { .type = (KqCoapType)kq_random_below (random, 4),
                            .code = (uint8_t)kq_random_below (random, 6),
                            .message_id = (uint16_t)kq_random_below (random, 8),
                            .token = { (uint8_t)kq_random_below (random, 8) },
                            .token_size = 1,
                            .path = "marks",
                            .observe_present = kq_random_below (random, 3) == 0,
                            .observe = (uint32_t)kq_random_below (random, 2) };
  if (message.code == KQ_COAP_EMPTY)
    message = (KqCoapMessage){ .type = message.type, .message_id = message.message_id };
  return message;
}

/* Derives an input from a captured datagram: for the target's side an answer to a request, for the
 * caller's side a POST with the Echo value of a challenge or an empty message. */
static size_t
make_reply (const Captured *captured, KqRandom *random, uint8_t *bytes, bool to_guard_as_caller)
{
  unsigned i = (unsigned)kq_random_below (random, CAPTURED);
  KqCoapMessage message;
  if (captured->sizes[i] == 0 ||
      kq_coap_message_parse (captured->bytes[i], captured->sizes[i], &message, NULL) < 0)
    return 0;
  message.type = (KqCoapType)kq_random_below (random, 4);
  if (to_guard_as_caller)
    message.code = message.echo_size > 0 ? KQ_COAP_POST : KQ_COAP_EMPTY;
  else if (message.code != KQ_COAP_EMPTY)
    message.code = kq_random_below (random, 4) == 0 ? KQ_COAP_SERVICE_UNAVAILABLE : KQ_COAP_CONTENT;
  if (message.code == KQ_COAP_EMPTY)
    message = (KqCoapMessage){ .type = message.type, .message_id = message.message_id };
  message.query[0] = '\0';
  int size = kq_coap_message_format (&message, bytes, KQ_FUZZ_BYTES);
  return size < 0 ? 0 : (size_t)size;
}

static size_t
make_input (Fuzz *fuzz, KqRandom *random, uint8_t *bytes, bool from_target)
{
  if (from_target)
    return make_reply (&fuzz->to_target, random, bytes, false);
  if (kq_random_below (random, 3) == 0)
    return make_reply (&fuzz->to_caller, random, bytes, true);
  KqCoapMessage message = random_request (random);
  return (size_t)kq_coap_message_format (&message, bytes, KQ_FUZZ_BYTES);
}

int
main (void)
{
  static const KqRequestGuardOps ops = { to_target, to_caller, finished };
  static Fuzz fuzz;
  KqRequestGuardParams params = { .slots = 4,
                                  .queue_max = 4,
                                  .deadline_us = KQ_SECOND,
                                  .dedup_entries_max = 20,
                                  .dedup_lifetime_us = 5 * KQ_SECOND,
                                  .echo_us = KQ_SECOND,
                                  .observers_max = 8 };
  KqRequestGuard *guard = kq_request_guard_new (NULL, &params, &ops, &fuzz);
  KqFlowKey key = { .service = 1 };
  KqRandom random;
  KqTime now = 0;
  kq_random_seed (&random, SEED);
  for (unsigned i = 0; i < STEPS; i++)
    {
      uint8_t bytes[KQ_FUZZ_BYTES];
      bool from_target = kq_random_below (&random, 2) == 0;
      size_t size = make_input (&fuzz, &random, bytes, from_target);
      if (size > 0 && kq_random_below (&random, 3) == 0)
        size = kq_fuzz_mutate (&random, bytes, size);
      now += (KqTime)kq_random_below (&random, 20 * KQ_MS);
      key.caller.port = (uint16_t)kq_random_below (&random, 3);
      if (from_target)
        kq_request_guard_from_target (guard, &key, bytes, size, now);
      else if (kq_random_below (&random, 20) == 0)
        kq_request_guard_refuse (guard, &key, bytes, size, KQ_ERROR_FULL, now);
      else
        kq_request_guard_from_caller (guard, &key, bytes, size, now);
      fuzz.echo_given |= kq_request_guard_stats (guard).challenged > 0;
      if (kq_random_below (&random, 10) == 0)
        kq_request_guard_tick (guard, now);
      if (kq_random_below (&random, 500) == 0)
        kq_request_guard_flow_closed (guard, &key, now);
    }
  printf ("%u steps, %llu POSTs ran\n", STEPS, (unsigned long long)fuzz.posts);
  talloc_free (guard);
  return fuzz.posts > 0 ? 0 : 1;
}
