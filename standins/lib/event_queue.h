/* A priority queue of events in simulated time; equal times keep their order of insertion. */
#pragma once

#include "kumquat/types.h"

/**
 * struct KqQueued - first member of every event
 * @time: when it is due
 * @order: set by the queue
 */
typedef struct
{
  KqTime time;
  uint64_t order;
} KqQueued;

typedef struct KqEventQueue KqEventQueue;

/** kq_event_queue_new - Return: (owned by @parent) an empty queue */
KqEventQueue *kq_event_queue_new (const void *parent);

/** kq_event_queue_push - adds an event, which the caller owns */
void kq_event_queue_push (KqEventQueue *queue, KqQueued *event);

/** kq_event_queue_first - Return: the event due first, or NULL; it stays in the queue */
KqQueued *kq_event_queue_first (const KqEventQueue *queue);

/** kq_event_queue_pop - removes and returns the event due first; the queue must not be empty */
KqQueued *kq_event_queue_pop (KqEventQueue *queue);
