#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "kumquat/internal/stream_state.h"

/* How long a refused stream is kept: a caller abandons an attempt 1.4 s after its first segment. */
#define REFUSED_US   (1500 * KQ_MS)
#define DETAIL_BYTES 256

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
  STAILQ_INIT (&stream->held);
  kq_hash_index_insert (&router->index, &stream->link, kq_stream_key_hash (key));
  TAILQ_INSERT_TAIL (&router->by_use, stream, by_use);
  router->stats.streams++;
  return stream;
}

void
kq_stream_drop_held (KqStream *stream)
{
  while (!STAILQ_EMPTY (&stream->held))
    {
      KqHeldSegment *held = STAILQ_FIRST (&stream->held);
      STAILQ_REMOVE_HEAD (&stream->held, link);
      talloc_free (held);
    }
  stream->held_count = 0;
}

void
kq_stream_search_end (KqStreamRouter *router, KqStream *stream)
{
  if (stream->state == KQ_STREAM_QUEUED)
    {
      TAILQ_REMOVE (&router->queued, stream, by_due);
      router->stats.queued--;
      stream->state = KQ_STREAM_LOST;
    }
  if (stream->counted)
    kq_search_budget_end (&router->search_budget);
  stream->counted = false;
}

void
kq_stream_free (KqStreamRouter *router, KqStream *stream)
{
  kq_stream_search_end (router, stream);
  kq_stream_stop_waiting (router, stream);
  kq_hash_index_remove (&router->index, &stream->link);
  TAILQ_REMOVE (&router->by_use, stream, by_use);
  router->stats.streams--;
  talloc_free (stream);
}

void
kq_stream_touch (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  stream->used_at = now;
  TAILQ_REMOVE (&router->by_use, stream, by_use);
  TAILQ_INSERT_TAIL (&router->by_use, stream, by_use);
}

void
kq_stream_wait_until (KqStreamRouter *router, KqStream *stream, KqTime due)
{
  kq_stream_stop_waiting (router, stream);
  stream->due_at = due;
  stream->waits = true;
  KqStream *before = TAILQ_LAST (&router->by_due, KqStreamList);
  while (before != NULL && before->due_at > due)
    before = TAILQ_PREV (before, KqStreamList, by_due);
  if (before == NULL)
    TAILQ_INSERT_HEAD (&router->by_due, stream, by_due);
  else
    TAILQ_INSERT_AFTER (&router->by_due, before, stream, by_due);
}

void
kq_stream_stop_waiting (KqStreamRouter *router, KqStream *stream)
{
  if (stream->waits)
    TAILQ_REMOVE (&router->by_due, stream, by_due);
  stream->waits = false;
}

void
kq_stream_hold (KqStream *stream, const KqSegment *segment)
{
  if (stream->held_count == KQ_STREAM_WAITING_MAX)
    return;
  KqHeldSegment *held = talloc_size (stream, sizeof *held + segment->size);
  if (held == NULL)
    return;
  held->size = segment->size;
  memcpy (held->bytes, segment->bytes, segment->size);
  STAILQ_INSERT_TAIL (&stream->held, held, link);
  stream->held_count++;
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
                          .service = target->service,
                          .agent = target->peer.id,
                          .attempt = stream->attempt,
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
  kq_stream_search_end (router, stream);
  stream->state = KQ_STREAM_REFUSED;
  kq_stream_drop_held (stream);
  kq_stream_wait_until (router, stream, now + REFUSED_US);
}

void
kq_stream_settle (KqStreamRouter *router, KqStream *stream, KqStreamTarget *owner)
{
  kq_stream_search_end (router, stream);
  stream->state = KQ_STREAM_OPEN;
  stream->owner = owner->peer.id;
  stream->gone = false;
  stream->caller_waits = false;
  kq_stream_stop_waiting (router, stream);
  KqHeldSegment *held;
  STAILQ_FOREACH (held, &stream->held, link)
  {
    kq_stream_send (router, stream, owner, KQ_FRAME_CARRY, held->bytes, held->size);
  }
  kq_stream_drop_held (stream);
}
