/* Intrusive doubly linked list; the head is itself a link. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct KqLink
{
  struct KqLink *next;
  struct KqLink *previous;
} KqLink;

#define KQ_CONTAINER_OF(link, type, member)                                                        \
  ((type *)(void *)((char *)(link)-offsetof (type, member)))

static inline void
kq_list_init (KqLink *head)
{
  head->next = head;
  head->previous = head;
}

static inline bool
kq_list_empty (const KqLink *head)
{
  return head->next == head;
}

static inline void
kq_list_append (KqLink *head, KqLink *link)
{
  link->next = head;
  link->previous = head->previous;
  head->previous->next = link;
  head->previous = link;
}

/* A second removal of the same link has no effect. */
static inline void
kq_list_remove (KqLink *link)
{
  link->previous->next = link->next;
  link->next->previous = link->previous;
  kq_list_init (link);
}
