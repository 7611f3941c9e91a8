#include <talloc.h>

#include "event_queue.h"

#define CAPACITY_FIRST 1024

struct KqEventQueue
{
  KqQueuedEvent **heap;
  unsigned size;
  unsigned capacity;
  uint64_t sequence;
};

static bool
earlier (const KqQueuedEvent *a, const KqQueuedEvent *b)
{
  return a->time != b->time ? a->time < b->time : a->sequence < b->sequence;
}

KqEventQueue *
kq_event_queue_new (const void *parent)
{
  return talloc_zero (parent, KqEventQueue);
}

void
kq_event_queue_push (KqEventQueue *queue, KqQueuedEvent *event)
{
  event->sequence = queue->sequence++;
  if (queue->size == queue->capacity)
    {
      queue->capacity = queue->capacity == 0 ? CAPACITY_FIRST : 2 * queue->capacity;
      queue->heap = talloc_realloc (queue, queue->heap, KqQueuedEvent *, queue->capacity);
    }
  unsigned i = queue->size++;
  for (; i > 0 && earlier (event, queue->heap[(i - 1) / 2]); i = (i - 1) / 2)
    queue->heap[i] = queue->heap[(i - 1) / 2];
  queue->heap[i] = event;
}

KqQueuedEvent *
kq_event_queue_first (const KqEventQueue *queue)
{
  return queue->size == 0 ? NULL : queue->heap[0];
}

KqQueuedEvent *
kq_event_queue_pop (KqEventQueue *queue)
{
  KqQueuedEvent *first = queue->heap[0];
  KqQueuedEvent *last = queue->heap[--queue->size];
  unsigned i = 0;
  for (;;)
    {
      unsigned child = 2 * i + 1;
      if (child >= queue->size)
        break;
      if (child + 1 < queue->size && earlier (queue->heap[child + 1], queue->heap[child]))
        child++;
      if (!earlier (queue->heap[child], last))
        break;
      queue->heap[i] = queue->heap[child];
      i = child;
    }
  queue->heap[i] = last;
  return first;
}
