#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/target_probe.h"
#include "kumquat/internal/udp_socket.h"

#define PING_BYTES 4
#define COAP_CON   0x40 /* version 1, confirmable, no token */
#define COAP_RST   0x70 /* version 1, reset, no token */

struct KqTargetProbe
{
  struct tevent_context *ev;
  struct tevent_fd *event;
  int fd;
  uint16_t message_id;
  unsigned unanswered;
  bool answers;
  void (*changed) (bool answers, void *data);
  void *data;
};

static void
set_answers (KqTargetProbe *probe, bool answers)
{
  if (probe->answers == answers)
    return;
  probe->answers = answers;
  probe->changed (answers, probe->data);
}

static void
receive_reset (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  (void)from;
  KqTargetProbe *probe = data;
  if (size != PING_BYTES || bytes[0] != COAP_RST || bytes[1] != 0)
    return;
  probe->unanswered = 0;
  set_answers (probe, true);
}

static void
on_readable (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  KqTargetProbe *probe = data;
  kq_udp_receive (probe->fd, receive_reset, probe);
}

static void
ping (KqTargetProbe *probe)
{
  probe->message_id++;
  const uint8_t bytes[PING_BYTES] = { COAP_CON, 0, (uint8_t)(probe->message_id >> 8),
                                      (uint8_t)probe->message_id };
  kq_udp_send (probe->fd, NULL, bytes, sizeof bytes);
  if (++probe->unanswered > KQ_TARGET_PROBE_UNANSWERED_MAX)
    set_answers (probe, false);
}

static void
on_timer (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  KqTargetProbe *probe = data;
  ping (probe);
  tevent_add_timer (ev, probe, tevent_timeval_current_ofs (0, KQ_TARGET_PROBE_INTERVAL_MS * 1000),
                    on_timer, probe);
}

static int
destroy (KqTargetProbe *probe)
{
  TALLOC_FREE (probe->event);
  close (probe->fd);
  return 0;
}

KqTargetProbe *
kq_target_probe_new (const void *parent, struct tevent_context *ev, const KqAddress *target,
                     void (*changed) (bool answers, void *data), void *data, KqError *error)
{
  KqTargetProbe *probe = talloc_zero (parent, KqTargetProbe);
  if (probe == NULL)
    return NULL;
  probe->changed = changed;
  probe->data = data;
  probe->fd = kq_udp_connect (target, error);
  if (probe->fd < 0)
    goto error;
  talloc_set_destructor (probe, destroy);
  probe->event = tevent_add_fd (ev, probe, probe->fd, TEVENT_FD_READ, on_readable, probe);
  if (probe->event == NULL)
    goto error;
  tevent_add_timer (ev, probe, tevent_timeval_zero (), on_timer, probe);
  return probe;

error:
  talloc_free (probe);
  return NULL;
}

bool
kq_target_probe_is_responsive (const KqTargetProbe *probe)
{
  return probe->answers;
}
