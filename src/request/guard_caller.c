#include <string.h>
#include <xxhash.h>

#include "kumquat/internal/coap_options.h"
#include "kumquat/internal/guard.h"

KqMethod
kq_method (uint8_t code)
{
  static const KqMethod methods[] = {
    [1] = KQ_METHOD_SAFE,       /* GET */
    [2] = KQ_METHOD_GUARDED,    /* POST */
    [3] = KQ_METHOD_IDEMPOTENT, /* PUT */
    [4] = KQ_METHOD_IDEMPOTENT, /* DELETE */
    [5] = KQ_METHOD_SAFE,       /* FETCH */
    [6] = KQ_METHOD_GUARDED,    /* PATCH */
    [7] = KQ_METHOD_IDEMPOTENT, /* iPATCH */
  };
  return code >= 1 && code < sizeof methods / sizeof methods[0] ? methods[code] : KQ_METHOD_UNKNOWN;
}

/* Digest of the content of a request: its method, options and payload without the Echo value and
 * the deadline, which differ between duplicates. */
static uint64_t
digest_request (const uint8_t *bytes, size_t size)
{
  static const char deadline[] = KQ_COAP_QUERY_DEADLINE "=";
  KqCoapOptionReader reader;
  uint64_t digest = bytes[1];
  kq_coap_option_reader_init (&reader, bytes, size);
  while (kq_coap_option_next (&reader))
    {
      bool is_deadline = reader.number == KQ_COAP_OPTION_URI_QUERY &&
                         reader.value_size >= sizeof deadline - 1 &&
                         memcmp (reader.value, deadline, sizeof deadline - 1) == 0;
      if (reader.number != KQ_COAP_OPTION_ECHO && !is_deadline)
        digest =
            XXH3_64bits_withSeed (reader.value, reader.value_size, digest * 31 + reader.number);
    }
  return XXH3_64bits_withSeed (bytes + reader.offset, size - reader.offset, digest);
}

static void
repeat_of_running (KqRequestGuard *guard, KqExchange *exchange, const KqArrival *arrival)
{
  guard->stats.repeats_running++;
  exchange->back.type = arrival->message->type;
  exchange->back.message_id = arrival->message->message_id;
  exchange->back.acked = false;
  kq_guard_acknowledge (guard, arrival->key, &exchange->back);
}

/* Cancels a request whose token the caller has reused for another idempotent request. */
static void
supersede (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  guard->stats.cancelled++;
  kq_guard_keep_observation (guard, exchange);
  if (exchange->state == KQ_EXCHANGE_RUNNING)
    kq_guard_give_up (guard, exchange, KQ_CANCEL_CALLER, now);
  else
    {
      kq_request_queue_remove (&guard->queue, exchange);
      kq_guard_free (guard, exchange);
    }
}

/* Return: (nullable): the observation that a request renews by its token. A request that does not
 * register again ends the observation. */
static KqExchange *
renewed_by (KqRequestGuard *guard, const KqArrival *arrival)
{
  const KqCoapMessage *message = arrival->message;
  KqExchange *observation =
      kq_guard_find (guard, arrival->key, message->token, message->token_size);
  if (observation == NULL || (message->observe_present && message->observe == 0))
    return observation;
  kq_guard_end_observation (guard, observation, false);
  return NULL;
}

static KqKeptAnswer *
find_kept (const KqRequestGuard *guard, const KqArrival *arrival)
{
  const KqCoapMessage *message = arrival->message;
  KqKeptAnswer *kept =
      kq_kept_answers_find (guard->kept, arrival->key, message->token, message->token_size);
  unsigned disable = guard->params.disable;
  if (kept == NULL || ((disable & KQ_DISABLE_KEPT_ANSWERS) && kept->state == KQ_KEPT_ANSWERED) ||
      ((disable & KQ_DISABLE_KEPT_REFUSALS) && kept->state == KQ_KEPT_REFUSED))
    return NULL;
  return kept;
}

/* Answers a duplicate of a known request, or a request that reuses its token. If the request renews
 * or ends an observation, @target_token is set to the observation's token towards the target; if it
 * renews one, @renewed is set to it.
 *
 * Return: whether the request was answered. */
static bool
handle_repeat (KqRequestGuard *guard, const KqArrival *arrival, uint64_t *target_token,
               KqExchange **renewed)
{
  const KqCoapMessage *message = arrival->message;
  bool guarded = kq_method (message->code) == KQ_METHOD_GUARDED;
  KqExchange *exchange = kq_guard_find (guard, arrival->key, message->token, message->token_size);
  if (exchange != NULL && exchange->state != KQ_EXCHANGE_OBSERVING &&
      exchange->digest == arrival->digest)
    {
      repeat_of_running (guard, exchange, arrival);
      return true;
    }
  if (exchange != NULL && (guarded || exchange->kept != NULL))
    {
      kq_guard_reply (guard, arrival, KQ_COAP_BAD_REQUEST);
      return true;
    }
  if (exchange != NULL)
    {
      if (exchange->state == KQ_EXCHANGE_OBSERVING)
        *target_token = exchange->target_token;
      else
        supersede (guard, exchange, arrival->now);
      *renewed = renewed_by (guard, arrival);
      if (*renewed != NULL)
        *target_token = (*renewed)->target_token;
    }
  KqKeptAnswer *kept = guarded ? find_kept (guard, arrival) : NULL;
  if (kept == NULL)
    return false;
  if (kept->digest == arrival->digest)
    kq_guard_reply_kept (guard, arrival, kept);
  else
    kq_guard_reply (guard, arrival, KQ_COAP_BAD_REQUEST);
  return true;
}

/* Refuses a non-idempotent request with a fresh Echo value so that no duplicate of it can run
 * later.
 * @kept is its entry, or NULL when there was no room for one. */
static void
refuse_for_good (KqRequestGuard *guard, const KqArrival *arrival, KqKeptAnswer *kept)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReturnPath back = kq_guard_return_path (arrival->message);
  size_t size = kq_guard_decline (guard, arrival->message->code, &back, bytes);
  if (kept != NULL)
    kq_kept_answers_settle (guard->kept, kept, KQ_KEPT_REFUSED, bytes, size, arrival->now);
  else if ((guard->params.disable & KQ_DISABLE_KEPT_REFUSALS) == 0)
    guard->echo_floor = arrival->now;
  kq_guard_respond (guard, arrival->key, &back, bytes, size, arrival->now);
  guard->ops.finished (arrival->key, 0, false, guard->data);
}

static KqKeptAnswer *
reserve_entry (KqRequestGuard *guard, const KqArrival *arrival)
{
  return kq_kept_answers_reserve (guard->kept, arrival->key, arrival->message->token,
                                  arrival->message->token_size, arrival->digest);
}

/* Checks the Echo value of a non-idempotent request that has no entry; answers the request if it
 * must not run. */
static bool
may_run (KqRequestGuard *guard, const KqArrival *arrival)
{
  const KqCoapMessage *message = arrival->message;
  KqTime issued;
  if ((guard->params.disable & KQ_DISABLE_ECHO) != 0)
    return true;
  if (!kq_echo_open (&guard->echo, arrival->key, message->echo, message->echo_size, &issued))
    {
      kq_guard_reply_unknown (guard, arrival);
      return false;
    }
  KqTime age = arrival->now - issued;
  if (age < guard->params.echo_us && issued > guard->echo_floor)
    return true;
  if (age < guard->params.kept_answer_us)
    kq_guard_reply_refused (guard, arrival);
  else
    kq_guard_reply_unknown (guard, arrival);
  return false;
}

static void
admit_guarded (KqRequestGuard *guard, const KqArrival *arrival)
{
  const KqCoapMessage *message = arrival->message;
  bool echo_needed = message->echo_size == 0 && (guard->params.disable & KQ_DISABLE_ECHO) == 0;
  if (echo_needed)
    {
      if (kq_kept_answers_full (guard->kept) || !kq_guard_would_admit (guard, arrival))
        kq_guard_reply_refused (guard, arrival);
      else
        kq_guard_reply_challenge (guard, arrival);
      return;
    }
  guard->stats.requests++;
  if (!may_run (guard, arrival))
    return;
  KqKeptAnswer *kept = reserve_entry (guard, arrival);
  KqExchange *exchange = kept == NULL ? NULL : kq_guard_open (guard, arrival, 0);
  if (exchange == NULL)
    {
      refuse_for_good (guard, arrival, kept);
      return;
    }
  exchange->kept = kept;
  kq_guard_schedule (guard, exchange, arrival->now);
}

static void
admit_idempotent (KqRequestGuard *guard, const KqArrival *arrival, uint64_t target_token,
                  KqExchange *renewed)
{
  const KqCoapMessage *message = arrival->message;
  bool registers = message->observe_present && message->observe == 0;
  KqExchange *exchange = NULL;
  guard->stats.requests++;
  if (!registers || renewed != NULL || guard->observer_count < guard->params.observers_max)
    exchange = kq_guard_open (guard, arrival, target_token);
  if (exchange == NULL)
    {
      kq_guard_reply_refused (guard, arrival);
      return;
    }
  if (renewed != NULL)
    kq_guard_renew (guard, exchange, renewed);
  kq_guard_schedule (guard, exchange, arrival->now);
}

static void
request (KqRequestGuard *guard, const KqArrival *arrival)
{
  uint64_t target_token = 0;
  KqExchange *renewed = NULL;
  KqMethod method = kq_method (arrival->message->code);
  if (method == KQ_METHOD_UNKNOWN)
    kq_guard_reply (guard, arrival, KQ_COAP_METHOD_NOT_ALLOWED);
  else if (arrival->message->unknown_critical)
    kq_guard_reply (guard, arrival, KQ_COAP_BAD_OPTION);
  else if (!handle_repeat (guard, arrival, &target_token, &renewed))
    {
      if (method == KQ_METHOD_GUARDED)
        admit_guarded (guard, arrival);
      else
        admit_idempotent (guard, arrival, target_token, renewed);
    }
}

void
kq_guard_rejected (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id, KqTime now)
{
  KqExchange *exchange;
  KqOutgoing *outgoing = kq_outbox_find (guard->outbox, key, message_id);
  if (outgoing != NULL)
    {
      exchange = kq_guard_find (guard, key, outgoing->token, outgoing->token_size);
      kq_outbox_remove (guard->outbox, outgoing);
      if (exchange != NULL && exchange->state == KQ_EXCHANGE_OBSERVING)
        {
          guard->stats.cancelled++;
          kq_guard_end_observation (guard, exchange, true);
        }
      return;
    }
  TAILQ_FOREACH (exchange, &guard->observing, entry)
  if (exchange->notification_mid == message_id && kq_flow_key_equal (&exchange->key, key))
    {
      guard->stats.cancelled++;
      kq_guard_end_observation (guard, exchange, true);
      return;
    }
  TAILQ_FOREACH (exchange, &guard->running, entry)
  if (exchange->back.message_id == message_id && kq_flow_key_equal (&exchange->key, key))
    {
      guard->stats.cancelled++;
      kq_guard_give_up (guard, exchange, KQ_CANCEL_CALLER, now);
      return;
    }
  TAILQ_FOREACH (exchange, &guard->queue.list, entry)
  if (exchange->back.message_id == message_id && kq_flow_key_equal (&exchange->key, key))
    {
      guard->stats.cancelled++;
      kq_guard_refuse_waiting (guard, exchange, now);
      return;
    }
}

static void
empty_message (KqRequestGuard *guard, const KqArrival *arrival)
{
  uint16_t message_id = arrival->message->message_id;
  KqOutgoing *outgoing;
  switch (arrival->message->type)
    {
    case KQ_COAP_ACK:
      outgoing = kq_outbox_find (guard->outbox, arrival->key, message_id);
      if (outgoing != NULL)
        kq_outbox_remove (guard->outbox, outgoing);
      break;
    case KQ_COAP_RST:
      kq_guard_rejected (guard, arrival->key, message_id, arrival->now);
      break;
    case KQ_COAP_CON:
      kq_guard_reset_caller (guard, arrival->key, message_id);
      break;
    default:
      guard->stats.malformed++;
      break;
    }
}

/* Return: whether the datagram is well formed; answers or counts one that is not. */
static bool
parse (KqRequestGuard *guard, KqArrival *arrival, KqCoapMessage *message)
{
  KqError error = { 0 };
  arrival->message = message;
  if (kq_coap_message_parse (arrival->bytes, arrival->size, message, &error) < 0)
    {
      guard->stats.malformed++;
      bool request = error.kind == KQ_ERROR_RANGE && KQ_COAP_CLASS (message->code) == 0;
      if (request && message->type <= KQ_COAP_NON)
        kq_guard_reply (guard, arrival, KQ_COAP_BAD_REQUEST);
      return false;
    }
  bool request = message->code != KQ_COAP_EMPTY;
  if (request && (KQ_COAP_CLASS (message->code) != 0 || message->type > KQ_COAP_NON))
    {
      guard->stats.malformed++;
      return false;
    }
  if (request)
    arrival->digest = digest_request (arrival->bytes, arrival->size);
  return true;
}

void
kq_request_guard_from_caller (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                              size_t size, KqTime now)
{
  KqCoapMessage message;
  KqArrival arrival = { .key = key, .bytes = bytes, .size = size, .now = now };
  kq_guard_event (guard, now);
  if (!parse (guard, &arrival, &message))
    return;
  if (message.code == KQ_COAP_EMPTY)
    empty_message (guard, &arrival);
  else
    request (guard, &arrival);
}

/* A duplicate of a refused datagram may have run here or at the target that issued its Echo value,
 * so "not run" is reported only for requests that are certain never to run. */
void
kq_request_guard_refuse (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                         size_t size, KqErrorKind reason, KqTime now)
{
  KqCoapMessage message;
  KqArrival arrival = { .key = key, .bytes = bytes, .size = size, .now = now };
  uint64_t target_token = 0;
  KqExchange *renewed = NULL;
  (void)reason;
  kq_guard_event (guard, now);
  if (!parse (guard, &arrival, &message) || message.code == KQ_COAP_EMPTY)
    return;
  KqMethod method = kq_method (message.code);
  if (method == KQ_METHOD_UNKNOWN || message.unknown_critical)
    kq_guard_reply (guard, &arrival, KQ_COAP_BAD_OPTION);
  else if (handle_repeat (guard, &arrival, &target_token, &renewed))
    return;
  else if (method != KQ_METHOD_GUARDED || message.echo_size == 0)
    kq_guard_reply_refused (guard, &arrival);
  else if (may_run (guard, &arrival))
    refuse_for_good (guard, &arrival, reserve_entry (guard, &arrival));
}
