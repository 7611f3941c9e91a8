#include "link.h"

#include <string.h>
#include <talloc.h>

#include "net.h"

/**
 * struct Delayed - a datagram to be sent after a delay
 */
typedef struct
{
  int fd;
  struct sockaddr_in to;
  struct in_addr source;
  bool has_source;
  size_t size;
  uint8_t bytes[];
} DelayedDatagram;

static void
on_due (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  DelayedDatagram *delayed = data;
  net_send (delayed->fd, delayed->bytes, delayed->size, &delayed->to,
            delayed->has_source ? &delayed->source : NULL);
  talloc_free (delayed);
}

static void
send_once (Link *link, int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
           const struct in_addr *source)
{
  KqRandom *random = &link->standin->random;
  KqTime delay = link->delay_us;
  if (link->reorder > 0 && kq_random_double (random) < link->reorder)
    delay += (KqTime)kq_random_below (random, (uint64_t)link->reorder_us + 1);
  link->passed++;
  if (delay == 0)
    {
      net_send (fd, bytes, size, to, source);
      return;
    }
  DelayedDatagram *delayed = talloc_zero_size (link->standin, sizeof *delayed + size);
  if (delayed == NULL)
    return;
  delayed->fd = fd;
  delayed->to = *to;
  delayed->has_source = source != NULL;
  if (source != NULL)
    delayed->source = *source;
  delayed->size = size;
  memcpy (delayed->bytes, bytes, size);
  tevent_add_timer (
      link->standin->ev, delayed,
      tevent_timeval_current_ofs ((uint32_t)(delay / KQ_SECOND), (uint32_t)(delay % KQ_SECOND)),
      on_due, delayed);
}

void
link_send (Link *link, int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
           const struct in_addr *source)
{
  KqRandom *random = &link->standin->random;
  if (link->cut || (link->loss > 0 && kq_random_double (random) < link->loss))
    {
      link->lost++;
      return;
    }
  send_once (link, fd, bytes, size, to, source);
  if (link->duplicate > 0 && kq_random_double (random) < link->duplicate)
    send_once (link, fd, bytes, size, to, source);
}

bool
link_set (Link *link, const char *name, double value)
{
  if (strcmp (name, "loss") == 0)
    link->loss = value;
  else if (strcmp (name, "duplicate") == 0)
    link->duplicate = value;
  else if (strcmp (name, "reorder") == 0)
    link->reorder = value;
  else if (strcmp (name, "delay") == 0)
    link->delay_us = (KqTime)(value * KQ_MS);
  else if (strcmp (name, "cut") == 0)
    link->cut = value != 0;
  else
    return false;
  return true;
}
