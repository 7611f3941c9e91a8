/* Priority queue of events in simulated time; events of equal time keep their insertion order. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqQueuedEvent - header of an event, its first member
 * @time: when the event is due
 * @sequence: insertion number, set by the queue
 */
typedef struct
{
  KqTime time;
  uint64_t sequence;
} KqQueuedEvent;

typedef struct KqEventQueue KqEventQueue;

/** kq_event_queue_new - Return: (owned by @parent) an empty queue */
KqEventQueue *kq_event_queue_new (const void *parent);

/** kq_event_queue_push - adds an event, which remains owned by the caller */
void kq_event_queue_push (KqEventQueue *queue, KqQueuedEvent *event);

/** kq_event_queue_first - Return: (borrowed) the earliest event, or NULL; it stays in the queue */
KqQueuedEvent *kq_event_queue_first (const KqEventQueue *queue);

/** kq_event_queue_pop - removes the earliest event; the queue must not be empty */
KqQueuedEvent *kq_event_queue_pop (KqEventQueue *queue);
