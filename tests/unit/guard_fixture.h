/* Fixture of the request guard tests: the test acts as the caller and as the target. */
#pragma once

#include <CUnit/Basic.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/coap_message.h"
#include "kumquat/request_guard.h"
#include "unit.h"

#define LAST_MAX 64

/* Datagrams sent by a guard, oldest first. */
typedef struct
{
  KqCoapMessage messages[LAST_MAX];
  uint8_t bytes[LAST_MAX][KQ_DATAGRAM_BYTES];
  KqFlowKey keys[LAST_MAX];
  unsigned count;
} Sent;

/* A guard, the datagrams that it sent and a clock controlled by the test. */
typedef struct
{
  KqRequestGuard *guard;
  Sent caller;
  Sent target;
  KqTime now;
  uint16_t next_mid;
  KqFlowKey flow;
} Fixture;

static inline void
record (Sent *sent, const KqFlowKey *key, const uint8_t *bytes, size_t size)
{
  CU_ASSERT_FATAL (sent->count < LAST_MAX);
  memcpy (sent->bytes[sent->count], bytes, size);
  CU_ASSERT_FATAL (kq_coap_message_parse (sent->bytes[sent->count], size,
                                          &sent->messages[sent->count], NULL) == 0);
  sent->keys[sent->count] = *key;
  sent->count++;
}

static inline void
to_target (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  record (&((Fixture *)data)->target, key, bytes, size);
}

static inline void
to_caller (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  record (&((Fixture *)data)->caller, key, bytes, size);
}

static inline void
finished (const KqFlowKey *key, KqTime latency, bool answered, void *data)
{
  (void)key;
  (void)latency;
  (void)answered;
  (void)data;
}

static const KqRequestGuardOps ops = { to_target, to_caller, finished };

static inline KqRequestGuardParams
default_params (void)
{
  return (KqRequestGuardParams){ .target_id = 1,
                                 .incarnation = 7,
                                 .echo_key = { 3 },
                                 .slots = 2,
                                 .queue_max = 2,
                                 .deadline_us = 2 * KQ_SECOND,
                                 .dedup_entries_max = 8,
                                 .dedup_lifetime_us = 247 * KQ_SECOND,
                                 .echo_us = 30 * KQ_SECOND,
                                 .seed = 1 };
}

static inline void
setup (Fixture *fixture, const KqRequestGuardParams *params)
{
  memset (fixture, 0, sizeof *fixture);
  fixture->now = 100 * KQ_SECOND;
  fixture->next_mid = 1;
  fixture->flow.service = 1;
  fixture->flow.caller.port = 4000;
  fixture->guard = kq_request_guard_new (NULL, params, &ops, fixture);
  CU_ASSERT_FATAL (fixture->guard != NULL);
}

static inline void
from_caller (Fixture *fixture, const KqCoapMessage *message)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  int size = kq_coap_message_format (message, bytes, sizeof bytes);
  kq_request_guard_from_caller (fixture->guard, &fixture->flow, bytes, (size_t)size, fixture->now);
}

static inline void
from_target (Fixture *fixture, const KqCoapMessage *message)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  int size = kq_coap_message_format (message, bytes, sizeof bytes);
  kq_request_guard_from_target (fixture->guard, &fixture->flow, bytes, (size_t)size, fixture->now);
}

static inline KqCoapMessage
make_request (Fixture *fixture, uint8_t code, uint8_t token)
{
  return (KqCoapMessage){ .type = KQ_COAP_CON,
                          .code = code,
                          .message_id = fixture->next_mid++,
                          .token = { token },
                          .token_size = 1,
                          .path = "marks",
                          .payload = (const uint8_t *)"7.5",
                          .payload_size = 3 };
}

static inline const KqCoapMessage *
last (const Sent *sent)
{
  CU_ASSERT_FATAL (sent->count > 0);
  return &sent->messages[sent->count - 1];
}

/* Obtains an Echo value with another token. Return: a POST that carries this value. */
static inline KqCoapMessage
make_post (Fixture *fixture, uint8_t token)
{
  KqCoapMessage first = make_request (fixture, KQ_COAP_POST, (uint8_t)(token + 100));
  from_caller (fixture, &first);
  const KqCoapMessage *challenge = last (&fixture->caller);
  CU_ASSERT (challenge->code == KQ_COAP_UNAUTHORIZED && challenge->echo_size > 0);
  CU_ASSERT (challenge->type == KQ_COAP_ACK && challenge->message_id == first.message_id);
  KqCoapMessage post = make_request (fixture, KQ_COAP_POST, token);
  post.echo_size = challenge->echo_size;
  memcpy (post.echo, challenge->echo, sizeof post.echo);
  return post;
}

/* Answers the request that the target received as number @index. */
static inline void
answer (Fixture *fixture, unsigned index, uint8_t code, const char *payload)
{
  const KqCoapMessage *request = &fixture->target.messages[index];
  KqCoapMessage message = { .type = KQ_COAP_ACK,
                            .code = code,
                            .message_id = request->message_id,
                            .token_size = request->token_size,
                            .payload = (const uint8_t *)payload,
                            .payload_size = strlen (payload) };
  memcpy (message.token, request->token, sizeof message.token);
  from_target (fixture, &message);
}

static inline void
expect_last (const Fixture *fixture, uint8_t code, const char *payload)
{
  const KqCoapMessage *message = last (&fixture->caller);
  CU_ASSERT (message->code == code);
  CU_ASSERT (message->payload_size == strlen (payload));
  CU_ASSERT (memcmp (message->payload, payload, strlen (payload)) == 0);
}
