#include <string.h>
#include <xxhash.h>

#include "kumquat/internal/coap_options.h"
#include "kumquat/internal/guard.h"

KqMethodSemantics
kq_method_semantics (uint8_t code)
{
  static const KqMethodSemantics methods[] = {
    [1] = KQ_METHOD_SAFE,           /* GET */
    [2] = KQ_METHOD_NON_IDEMPOTENT, /* POST */
    [3] = KQ_METHOD_IDEMPOTENT,     /* PUT */
    [4] = KQ_METHOD_IDEMPOTENT,     /* DELETE */
    [5] = KQ_METHOD_SAFE,           /* FETCH */
    [6] = KQ_METHOD_NON_IDEMPOTENT, /* PATCH */
    [7] = KQ_METHOD_IDEMPOTENT,     /* iPATCH */
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
acknowledge_duplicate (KqRequestGuard *guard, KqExchange *exchange,
                       const KqIncomingDatagram *incoming)
{
  guard->stats.duplicates_running++;
  exchange->reply_to.type = incoming->message->type;
  exchange->reply_to.message_id = incoming->message->message_id;
  exchange->reply_to.acked = false;
  kq_guard_acknowledge (guard, incoming->key, &exchange->reply_to);
}

/* Cancels a request whose token the caller has reused for another idempotent request. */
static void
cancel_superseded (KqRequestGuard *guard, KqExchange *exchange, KqTime now)
{
  guard->stats.cancelled++;
  kq_guard_cancel_renewal (guard, exchange);
  if (exchange->state == KQ_EXCHANGE_RUNNING)
    kq_guard_abandon (guard, exchange, KQ_CANCEL_CALLER, now);
  else
    {
      kq_request_queue_remove (&guard->queue, exchange);
      kq_guard_free_exchange (guard, exchange);
    }
}

/* Return: (nullable): the observation that a request renews by its token. A request that does not
 * register again ends the observation. */
static KqExchange *
find_renewed_observation (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  const KqCoapMessage *message = incoming->message;
  KqExchange *observation =
      kq_guard_find_exchange (guard, incoming->key, message->token, message->token_size);
  if (observation == NULL || (message->observe_present && message->observe == 0))
    return observation;
  kq_guard_end_observation (guard, observation, false);
  return NULL;
}

static KqDedupEntry *
find_dedup_entry (const KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  const KqCoapMessage *message = incoming->message;
  KqDedupEntry *dedup =
      kq_dedup_store_find (guard->dedup, incoming->key, message->token, message->token_size);
  unsigned disable = guard->params.disable;
  if (dedup == NULL || ((disable & KQ_DISABLE_ANSWER_DEDUP) && dedup->state == KQ_DEDUP_ANSWERED) ||
      ((disable & KQ_DISABLE_REFUSAL_DEDUP) && dedup->state == KQ_DEDUP_REFUSED))
    return NULL;
  return dedup;
}

/* Answers a duplicate of a known request, or a request that reuses its token. If the request renews
 * or ends an observation, @target_token is set to the observation's token towards the target; if it
 * renews one, @renewed is set to it.
 *
 * Return: whether the request was answered. */
static bool
handle_duplicate (KqRequestGuard *guard, const KqIncomingDatagram *incoming, uint64_t *target_token,
                  KqExchange **renewed)
{
  const KqCoapMessage *message = incoming->message;
  bool non_idempotent = kq_method_semantics (message->code) == KQ_METHOD_NON_IDEMPOTENT;
  KqExchange *exchange =
      kq_guard_find_exchange (guard, incoming->key, message->token, message->token_size);
  if (exchange != NULL && exchange->state != KQ_EXCHANGE_OBSERVING &&
      exchange->digest == incoming->digest)
    {
      acknowledge_duplicate (guard, exchange, incoming);
      return true;
    }
  if (exchange != NULL && (non_idempotent || exchange->dedup != NULL))
    {
      kq_guard_reply (guard, incoming, KQ_COAP_BAD_REQUEST);
      return true;
    }
  if (exchange != NULL)
    {
      if (exchange->state == KQ_EXCHANGE_OBSERVING)
        *target_token = exchange->target_token;
      else
        cancel_superseded (guard, exchange, incoming->now);
      *renewed = find_renewed_observation (guard, incoming);
      if (*renewed != NULL)
        *target_token = (*renewed)->target_token;
    }
  KqDedupEntry *dedup = non_idempotent ? find_dedup_entry (guard, incoming) : NULL;
  if (dedup == NULL)
    return false;
  if (dedup->digest == incoming->digest)
    kq_guard_reply_duplicate (guard, incoming, dedup);
  else
    kq_guard_reply (guard, incoming, KQ_COAP_BAD_REQUEST);
  return true;
}

/* Refuses a non-idempotent request with a fresh Echo value so that no duplicate of it can run
 * later.
 * @dedup is its entry, or NULL when there was no room for one. */
static void
refuse_permanently (KqRequestGuard *guard, const KqIncomingDatagram *incoming, KqDedupEntry *dedup)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqReplyContext reply_to = kq_guard_reply_context (incoming->message);
  size_t size = kq_guard_format_refusal (guard, incoming->message->code, &reply_to, bytes);
  if (dedup != NULL)
    kq_dedup_store_complete (guard->dedup, dedup, KQ_DEDUP_REFUSED, bytes, size, incoming->now);
  else if ((guard->params.disable & KQ_DISABLE_REFUSAL_DEDUP) == 0)
    guard->echo_floor = incoming->now;
  kq_guard_respond (guard, incoming->key, &reply_to, bytes, size, incoming->now);
  guard->ops.finished (incoming->key, 0, false, guard->data);
}

static KqDedupEntry *
reserve_entry (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  return kq_dedup_store_reserve (guard->dedup, incoming->key, incoming->message->token,
                                 incoming->message->token_size, incoming->digest);
}

/* Checks the Echo value of a non-idempotent request that has no entry; answers the request if it
 * must not run. */
static bool
may_run (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  const KqCoapMessage *message = incoming->message;
  KqTime issued;
  if ((guard->params.disable & KQ_DISABLE_ECHO) != 0)
    return true;
  if (!kq_echo_verify (&guard->echo, incoming->key, message->echo, message->echo_size, &issued))
    {
      kq_guard_reply_outcome_unknown (guard, incoming);
      return false;
    }
  KqTime age = incoming->now - issued;
  if (age < guard->params.echo_us && issued > guard->echo_floor)
    return true;
  if (age < guard->params.dedup_lifetime_us)
    kq_guard_reply_refused (guard, incoming);
  else
    kq_guard_reply_outcome_unknown (guard, incoming);
  return false;
}

static void
admit_non_idempotent (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  const KqCoapMessage *message = incoming->message;
  bool echo_needed = message->echo_size == 0 && (guard->params.disable & KQ_DISABLE_ECHO) == 0;
  if (echo_needed)
    {
      if (kq_dedup_store_is_full (guard->dedup) || !kq_guard_would_admit (guard, incoming))
        kq_guard_reply_refused (guard, incoming);
      else
        kq_guard_reply_challenge (guard, incoming);
      return;
    }
  guard->stats.requests++;
  if (!may_run (guard, incoming))
    return;
  KqDedupEntry *dedup = reserve_entry (guard, incoming);
  KqExchange *exchange = dedup == NULL ? NULL : kq_guard_new_exchange (guard, incoming, 0);
  if (exchange == NULL)
    {
      refuse_permanently (guard, incoming, dedup);
      return;
    }
  exchange->dedup = dedup;
  kq_guard_schedule (guard, exchange, incoming->now);
}

static void
admit_idempotent (KqRequestGuard *guard, const KqIncomingDatagram *incoming, uint64_t target_token,
                  KqExchange *renewed)
{
  const KqCoapMessage *message = incoming->message;
  bool registers = message->observe_present && message->observe == 0;
  KqExchange *exchange = NULL;
  guard->stats.requests++;
  if (!registers || renewed != NULL || guard->observer_count < guard->params.observers_max)
    exchange = kq_guard_new_exchange (guard, incoming, target_token);
  if (exchange == NULL)
    {
      kq_guard_reply_refused (guard, incoming);
      return;
    }
  if (renewed != NULL)
    kq_guard_begin_renewal (guard, exchange, renewed);
  kq_guard_schedule (guard, exchange, incoming->now);
}

static void
request (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  uint64_t target_token = 0;
  KqExchange *renewed = NULL;
  KqMethodSemantics method = kq_method_semantics (incoming->message->code);
  if (method == KQ_METHOD_UNKNOWN)
    kq_guard_reply (guard, incoming, KQ_COAP_METHOD_NOT_ALLOWED);
  else if (incoming->message->unknown_critical)
    kq_guard_reply (guard, incoming, KQ_COAP_BAD_OPTION);
  else if (!handle_duplicate (guard, incoming, &target_token, &renewed))
    {
      if (method == KQ_METHOD_NON_IDEMPOTENT)
        admit_non_idempotent (guard, incoming);
      else
        admit_idempotent (guard, incoming, target_token, renewed);
    }
}

void
kq_guard_cancel_by_message_id (KqRequestGuard *guard, const KqFlowKey *key, uint16_t message_id,
                               KqTime now)
{
  KqExchange *exchange;
  KqUnackedMessage *outgoing = kq_retransmit_queue_find (guard->retransmit_queue, key, message_id);
  if (outgoing != NULL)
    {
      exchange = kq_guard_find_exchange (guard, key, outgoing->token, outgoing->token_size);
      kq_retransmit_queue_remove (guard->retransmit_queue, outgoing);
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
  if (exchange->reply_to.message_id == message_id && kq_flow_key_equal (&exchange->key, key))
    {
      guard->stats.cancelled++;
      kq_guard_abandon (guard, exchange, KQ_CANCEL_CALLER, now);
      return;
    }
  TAILQ_FOREACH (exchange, &guard->queue.list, entry)
  if (exchange->reply_to.message_id == message_id && kq_flow_key_equal (&exchange->key, key))
    {
      guard->stats.cancelled++;
      kq_guard_refuse_waiting (guard, exchange, now);
      return;
    }
}

static void
handle_empty_message (KqRequestGuard *guard, const KqIncomingDatagram *incoming)
{
  uint16_t message_id = incoming->message->message_id;
  KqUnackedMessage *outgoing;
  switch (incoming->message->type)
    {
    case KQ_COAP_ACK:
      outgoing = kq_retransmit_queue_find (guard->retransmit_queue, incoming->key, message_id);
      if (outgoing != NULL)
        kq_retransmit_queue_remove (guard->retransmit_queue, outgoing);
      break;
    case KQ_COAP_RST:
      kq_guard_cancel_by_message_id (guard, incoming->key, message_id, incoming->now);
      break;
    case KQ_COAP_CON:
      kq_guard_reset_caller (guard, incoming->key, message_id);
      break;
    default:
      guard->stats.malformed++;
      break;
    }
}

/* Return: whether the datagram is well formed; answers or counts one that is not. */
static bool
parse (KqRequestGuard *guard, KqIncomingDatagram *incoming, KqCoapMessage *message)
{
  KqError error = { 0 };
  incoming->message = message;
  if (kq_coap_message_parse (incoming->bytes, incoming->size, message, &error) < 0)
    {
      guard->stats.malformed++;
      bool request = error.kind == KQ_ERROR_RANGE && KQ_COAP_CLASS (message->code) == 0;
      if (request && message->type <= KQ_COAP_NON)
        kq_guard_reply (guard, incoming, KQ_COAP_BAD_REQUEST);
      return false;
    }
  bool request = message->code != KQ_COAP_EMPTY;
  if (request && (KQ_COAP_CLASS (message->code) != 0 || message->type > KQ_COAP_NON))
    {
      guard->stats.malformed++;
      return false;
    }
  if (request)
    incoming->digest = digest_request (incoming->bytes, incoming->size);
  return true;
}

void
kq_request_guard_from_caller (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                              size_t size, KqTime now)
{
  KqCoapMessage message;
  KqIncomingDatagram incoming = { .key = key, .bytes = bytes, .size = size, .now = now };
  kq_guard_record_time (guard, now);
  if (!parse (guard, &incoming, &message))
    return;
  if (message.code == KQ_COAP_EMPTY)
    handle_empty_message (guard, &incoming);
  else
    request (guard, &incoming);
}

/* A duplicate of a refused datagram may have run here or at the target that issued its Echo value,
 * so "not run" is reported only for requests that are certain never to run. */
void
kq_request_guard_refuse (KqRequestGuard *guard, const KqFlowKey *key, const uint8_t *bytes,
                         size_t size, KqErrorKind reason, KqTime now)
{
  KqCoapMessage message;
  KqIncomingDatagram incoming = { .key = key, .bytes = bytes, .size = size, .now = now };
  uint64_t target_token = 0;
  KqExchange *renewed = NULL;
  (void)reason;
  kq_guard_record_time (guard, now);
  if (!parse (guard, &incoming, &message) || message.code == KQ_COAP_EMPTY)
    return;
  KqMethodSemantics method = kq_method_semantics (message.code);
  if (method == KQ_METHOD_UNKNOWN || message.unknown_critical)
    kq_guard_reply (guard, &incoming, KQ_COAP_BAD_OPTION);
  else if (handle_duplicate (guard, &incoming, &target_token, &renewed))
    return;
  else if (method != KQ_METHOD_NON_IDEMPOTENT || message.echo_size == 0)
    kq_guard_reply_refused (guard, &incoming);
  else if (may_run (guard, &incoming))
    refuse_permanently (guard, &incoming, reserve_entry (guard, &incoming));
}
