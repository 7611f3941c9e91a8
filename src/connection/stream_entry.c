#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/stream_state.h"

/* How long a refused stream is kept: a caller abandons an attempt 1.4 s after its first segment. */
#define REFUSED_LINGER_US (1500 * KQ_MS)
#define DETAIL_BYTES      320

/* Segments sent to an owner that has not confirmed the stream, before a search verifies it. While
 * another agent may own the stream they are also the limit of the stream: three segments that reach
 * only other targets are a breach. */
#define UNCONFIRMED_MAX 2

/* Time from the first such segment until no agent is tried any more while another may own the
 * stream: segments that reach only other targets for 2 s are a breach. */
#define UNCONFIRMED_TRIAL_US (1500 * KQ_MS)

KqStream *
kq_stream_find (const KqStreamRouter *router, const KqStreamKey *key)
{
  uint64_t hash = kq_stream_key_hash (key);
  KqHashLink *link = kq_hash_index_find (&router->index, hash);
  while (link != NULL)
    {
      KqStream *stream = KQ_CONTAINER_OF (link, KqStream, link);
      if (kq_stream_key_equal (&stream->key, key))
        return stream;
      link = kq_hash_link_match (link->next, hash);
    }
  return NULL;
}

KqStream *
kq_stream_new (KqStreamRouter *router, const KqStreamKey *key, KqTime now)
{
  KqStream *stream = talloc_zero (router, KqStream);
  if (stream == NULL)
    return NULL;
  stream->key = *key;
  stream->first_at = now;
  stream->used_at = now;
  STAILQ_INIT (&stream->unsent);
  kq_hash_index_insert (&router->index, &stream->link, kq_stream_key_hash (key));
  TAILQ_INSERT_TAIL (&router->by_last_use, stream, by_last_use);
  router->stats.streams++;
  return stream;
}

void
kq_stream_drop_unsent (KqStream *stream)
{
  while (!STAILQ_EMPTY (&stream->unsent))
    {
      KqUnsentSegment *unsent = STAILQ_FIRST (&stream->unsent);
      STAILQ_REMOVE_HEAD (&stream->unsent, link);
      talloc_free (unsent);
    }
  stream->unsent_count = 0;
}

void
kq_stream_end_search (KqStreamRouter *router, KqStream *stream)
{
  if (stream->state == KQ_STREAM_QUEUED)
    {
      TAILQ_REMOVE (&router->queued, stream, by_timeout);
      router->stats.queued--;
      stream->state = KQ_STREAM_NOT_FOUND;
    }
  if (stream->search_running)
    kq_search_budget_release (&router->search_budget);
  stream->search_running = false;
}

void
kq_stream_free (KqStreamRouter *router, KqStream *stream)
{
  kq_stream_end_search (router, stream);
  kq_stream_clear_timeout (router, stream);
  kq_hash_index_remove (&router->index, &stream->link);
  TAILQ_REMOVE (&router->by_last_use, stream, by_last_use);
  router->stats.streams--;
  talloc_free (stream);
}

void
kq_stream_touch (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  stream->used_at = now;
  TAILQ_REMOVE (&router->by_last_use, stream, by_last_use);
  TAILQ_INSERT_TAIL (&router->by_last_use, stream, by_last_use);
}

void
kq_stream_set_timeout (KqStreamRouter *router, KqStream *stream, KqTime due)
{
  kq_stream_clear_timeout (router, stream);
  stream->timeout_at = due;
  stream->timeout_pending = true;
  KqStream *before = TAILQ_LAST (&router->by_timeout, KqStreamList);
  while (before != NULL && before->timeout_at > due)
    before = TAILQ_PREV (before, KqStreamList, by_timeout);
  if (before == NULL)
    TAILQ_INSERT_HEAD (&router->by_timeout, stream, by_timeout);
  else
    TAILQ_INSERT_AFTER (&router->by_timeout, before, stream, by_timeout);
}

void
kq_stream_clear_timeout (KqStreamRouter *router, KqStream *stream)
{
  if (stream->timeout_pending)
    TAILQ_REMOVE (&router->by_timeout, stream, by_timeout);
  stream->timeout_pending = false;
}

void
kq_stream_buffer_segment (KqStream *stream, const KqSegment *segment)
{
  if (stream->unsent_count == KQ_STREAM_UNSENT_MAX)
    return;
  KqUnsentSegment *unsent = talloc_size (stream, sizeof *unsent + segment->size);
  if (unsent == NULL)
    return;
  unsent->size = segment->size;
  memcpy (unsent->bytes, segment->bytes, segment->size);
  STAILQ_INSERT_TAIL (&stream->unsent, unsent, link);
  stream->unsent_count++;
}

void
kq_stream_log (KqStreamRouter *router, int level, const char *event, const KqStream *stream,
               const char *format, ...)
{
  char key[KQ_STREAM_KEY_TEXT_BYTES];
  char details[DETAIL_BYTES];
  va_list args;
  int size = snprintf (details, sizeof details, "stream=%s config=%llu ",
                       kq_stream_key_format (&stream->key, key),
                       router->routes == NULL ? 0ULL : (unsigned long long)router->routes->version);
  va_start (args, format);
  vsnprintf (details + size, sizeof details - (size_t)size, format, args);
  va_end (args);
  router->ops.event (level, event, details, router->data);
}

void
kq_stream_send (KqStreamRouter *router, KqStream *stream, const KqStreamTarget *target,
                KqStreamFrameType type, const uint8_t *bytes, size_t size)
{
  KqStreamFrame frame = { .type = type,
                          .extended = kq_stream_features_any (&router->features),
                          .service = target->service,
                          .agent = target->peer.id,
                          .transaction_id = stream->transaction_id,
                          .key = stream->key,
                          .need = stream->need,
                          .segment = bytes,
                          .segment_size = size };
  router->ops.send (&target->peer.data, &frame, router->data);
}

void
kq_stream_refuse (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  router->ops.reset (&stream->key, stream->acknowledged, router->data);
  kq_stream_end_search (router, stream);
  stream->state = KQ_STREAM_REFUSED;
  kq_stream_drop_unsent (stream);
  kq_stream_set_timeout (router, stream, now + REFUSED_LINGER_US);
}

bool
kq_stream_may_try_owner (const KqStream *stream, bool certain, KqTime now)
{
  bool early =
      stream->unconfirmed_since == 0 || now - stream->unconfirmed_since < UNCONFIRMED_TRIAL_US;
  return certain || (early && stream->unconfirmed_total < UNCONFIRMED_MAX);
}

bool
kq_stream_may_probe (const KqStream *stream, bool certain, KqTime now)
{
  return certain || stream->unconfirmed_since == 0 ||
         now - stream->unconfirmed_since < UNCONFIRMED_TRIAL_US ||
         stream->probes.count + stream->unconfirmed_total < UNCONFIRMED_MAX;
}

void
kq_stream_note_unconfirmed (KqStream *stream, KqTime now)
{
  if (stream->unconfirmed_since == 0)
    stream->unconfirmed_since = now;
}

void
kq_stream_confirm_owner (KqStream *stream, const KqStreamTarget *owner)
{
  stream->confirmed = true;
  stream->owner_incarnation = owner->peer.incarnation;
  stream->unconfirmed_sent = 0;
  stream->unconfirmed_total = 0;
  stream->unconfirmed_since = 0;
}

bool
kq_stream_may_forward (KqStream *stream, const KqStreamTarget *owner, KqTime now)
{
  /* A restarted agent does not know which streams its target owns; the target may hold an opening
   * of this one that the caller did not continue, and neither answers nor returns its segments. */
  if (owner->peer.incarnation != stream->owner_incarnation)
    {
      stream->owner_incarnation = owner->peer.incarnation;
      stream->confirmed = false;
      stream->owner_certain = false;
      stream->unconfirmed_sent = 0;
      stream->unconfirmed_total = 0;
      stream->unconfirmed_since = 0;
    }
  if (stream->confirmed)
    return true;
  if (stream->unconfirmed_sent >= UNCONFIRMED_MAX ||
      !kq_stream_may_try_owner (stream, stream->owner_certain, now))
    return false;
  stream->unconfirmed_sent++;
  if (stream->owner_certain)
    return true;
  stream->unconfirmed_total++;
  kq_stream_note_unconfirmed (stream, now);
  return true;
}

void
kq_stream_set_owner (KqStreamRouter *router, KqStream *stream, KqStreamTarget *owner,
                     bool confirmed, KqTime now)
{
  kq_stream_end_search (router, stream);
  stream->state = KQ_STREAM_OPEN;
  stream->owner = owner->peer.id;
  stream->owner_incarnation = owner->peer.incarnation;
  stream->confirmed = false;
  stream->unconfirmed_sent = 0;
  if (confirmed)
    kq_stream_confirm_owner (stream, owner);
  stream->target_denied = false;
  stream->answer_expected = false;
  kq_stream_clear_timeout (router, stream);
  KqUnsentSegment *unsent;
  STAILQ_FOREACH (unsent, &stream->unsent, link)
  {
    if (!kq_stream_may_forward (stream, owner, now))
      break;
    kq_stream_send (router, stream, owner, KQ_FRAME_FORWARD, unsent->bytes, unsent->size);
  }
  kq_stream_drop_unsent (stream);
}
