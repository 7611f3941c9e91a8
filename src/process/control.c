#include <sodium.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/control.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/control_impl.h"
#include "kumquat/internal/udp_socket.h"
#include "kumquat/log.h"

#define UDP_IP_HEADER_BYTES 28
#define BATCHES_PER_WAKEUP  8 /* batches of datagrams received before other events are handled */

static void
send_datagram (const KqAddress *to, const uint8_t *bytes, size_t size, void *data)
{
  KqControl *control = data;
  uint8_t message[KQ_CONTROL_MESSAGE_BYTES];
  memcpy (message + KQ_CONTROL_MAC_BYTES, bytes, size);
  kq_control_sign (&control->keys, message, size);
  if (kq_udp_send (control->fd, to, message, size + KQ_CONTROL_MAC_BYTES) < 0)
    control->send_failures++;
}

static void
send_bulk_request (const KqAddress *to, const uint8_t *bytes, size_t size, void *data)
{
  KqControl *control = data;
  uint8_t *message = talloc_array (control, uint8_t, size + KQ_CONTROL_MAC_BYTES);
  if (message == NULL)
    return;
  memcpy (message + KQ_CONTROL_MAC_BYTES, bytes, size);
  kq_control_sign (&control->keys, message, size);
  kq_control_bulk_request (control->bulk, to, message, size + KQ_CONTROL_MAC_BYTES);
  talloc_free (message);
}

static void
members_changed (void *data)
{
  KqControl *control = data;
  control->members_stale = true;
  if (control->ops.members_changed != NULL)
    control->ops.members_changed (control->data);
}

static void
document_changed (const KqDocument *document, void *data)
{
  KqControl *control = data;
  if (control->ops.document_changed != NULL)
    control->ops.document_changed (document, control->data);
}

static void
incarnation_changed (uint64_t incarnation, void *data)
{
  KqControl *control = data;
  control->members_stale = true;
  control->self = kq_group_self (control->group);
  if (control->ops.incarnation_changed != NULL)
    control->ops.incarnation_changed (incarnation, control->data);
}

static void
log_event (int level, const char *name, const char *details, void *data)
{
  (void)data;
  kq_log (level, name, "%s", details);
}

/* Return: the bytes after the authentication code, or NULL if the message is too large or the code
 * is wrong. */
static const uint8_t *
authenticated (KqControl *control, const uint8_t *bytes, size_t *size, size_t max_size)
{
  if (*size > max_size + KQ_CONTROL_MAC_BYTES)
    {
      control->oversized++;
      return NULL;
    }
  if (!kq_control_verify (&control->keys, bytes, *size))
    {
      control->wrong_key++;
      return NULL;
    }
  *size -= KQ_CONTROL_MAC_BYTES;
  return bytes + KQ_CONTROL_MAC_BYTES;
}

static void
handle_datagram (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  KqControl *control = data;
  (void)from;
  const uint8_t *body = authenticated (control, bytes, &size, KQ_CONTROL_DATAGRAM_BYTES);
  if (body != NULL)
    kq_group_handle_datagram (control->group, body, size, kq_clock_now ());
}

static void
socket_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  KqControl *control = data;
  (void)ev;
  (void)fde;
  (void)flags;
  for (unsigned i = 0; i < BATCHES_PER_WAKEUP; i++)
    {
      if (kq_udp_receive (control->fd, handle_datagram, control) < KQ_UDP_BATCH)
        return;
    }
}

static int
handle_request (const uint8_t *bytes, size_t size, uint8_t *answer, size_t capacity, void *data)
{
  KqControl *control = data;
  const uint8_t *body = authenticated (control, bytes, &size, KQ_BULK_BYTES);
  if (body == NULL)
    return 0;
  int written = kq_group_handle_request (control->group, body, size, answer + KQ_CONTROL_MAC_BYTES,
                                         capacity - KQ_CONTROL_MAC_BYTES, kq_clock_now ());
  if (written <= 0)
    return 0;
  kq_control_sign (&control->keys, answer, (size_t)written);
  return written + KQ_CONTROL_MAC_BYTES;
}

static void
handle_answer (const uint8_t *bytes, size_t size, void *data)
{
  KqControl *control = data;
  const uint8_t *body = authenticated (control, bytes, &size, KQ_BULK_BYTES);
  if (body != NULL)
    kq_group_handle_answer (control->group, body, size, kq_clock_now ());
}

static void
tick (void *data)
{
  KqControl *control = data;
  KqTime now = kq_clock_now ();
  kq_timer_set (control->timer, now + KQ_GROUP_TICK_US);
  if (control->ops.ticked != NULL)
    control->ops.ticked (control->data);
  kq_group_tick (control->group, now);
}

static int
close_control (KqControl *control)
{
  talloc_free (control->group); /* before the identity pool, which the group refers to */
  talloc_free (control->fde);
  if (control->fd >= 0)
    close (control->fd);
  return 0;
}

static int
open_transports (KqControl *control, struct tevent_context *ev, KqError *error)
{
  static const KqControlBulkOps bulk_ops = { .request = handle_request, .answer = handle_answer };
  const KqAddress *address = &control->params.self.control;
  control->fd = kq_udp_open (address, false, error);
  if (control->fd < 0)
    return -1;
  control->bulk = kq_control_bulk_new (control, ev, address, KQ_BULK_BYTES + KQ_CONTROL_MAC_BYTES,
                                       &bulk_ops, control, error);
  if (control->bulk == NULL)
    return -1;
  control->fde = tevent_add_fd (ev, control, control->fd, TEVENT_FD_READ, socket_ready, control);
  if (control->fde == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for a socket event; raise the memory limit");
  control->timer = kq_timer_new (control, ev, tick, control, error);
  if (control->timer == NULL)
    return -1;
  kq_timer_set (control->timer, kq_clock_now () + KQ_GROUP_TICK_US);
  return 0;
}

static int
start_group (KqControl *control, KqError *error)
{
  static const KqGroupOps ops = { .send = send_datagram,
                                  .send_request = send_bulk_request,
                                  .members_changed = members_changed,
                                  .document_changed = document_changed,
                                  .incarnation_changed = incarnation_changed,
                                  .event = log_event };
  const KqControlParams *params = &control->params;
  KqGroupParams group = { .self = params->self, .seed_count = params->seed_count };
  memcpy (group.seeds, params->seeds, sizeof params->seeds);
  group.common_document = params->common_document;
  group.probe_interval_us = params->probe_interval_us;
  group.suspicion_us = params->suspicion_us;
  group.budget_bytes_per_s = params->budget_bytes_per_s;
  group.overhead_bytes = UDP_IP_HEADER_BYTES + KQ_CONTROL_MAC_BYTES;
  group.self.peer.incarnation = kq_clock_wall_us ();
  if (params->service_name[0] != '\0')
    group.service_name = kq_hash_name (params->service_name);
  randombytes_buf (&group.random_seed, sizeof group.random_seed);
  KqIdentityPool *pool = kq_identity_pool_new (control);
  if (pool != NULL)
    control->group = kq_group_new (control, &group, pool, &ops, control, kq_clock_now ());
  if (control->group == NULL)
    return kq_error_set (error, KQ_ERROR_SYSTEM,
                         "out of memory for the member table; raise the memory limit");
  control->self = kq_group_self (control->group);
  return 0;
}

KqControl *
kq_control_new (const void *parent, struct tevent_context *ev, const KqControlParams *params,
                const KqControlOps *ops, void *data, KqError *error)
{
  if (sodium_init () < 0)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "libsodium cannot be initialized; make /dev/urandom available");
      return NULL;
    }
  KqControl *control = talloc_zero (parent, KqControl);
  if (control == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "out of memory for the control plane; raise the memory limit");
      return NULL;
    }
  control->fd = -1;
  control->params = *params;
  control->ops = *ops;
  control->data = data;
  control->members_stale = true;
  kq_control_set_keys (control, params->key, params->has_old_key ? params->old_key : NULL);
  talloc_set_destructor (control, close_control);
  if (start_group (control, error) < 0 || open_transports (control, ev, error) < 0)
    {
      talloc_free (control);
      return NULL;
    }
  return control;
}
