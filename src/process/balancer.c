/* The balancer process: it follows membership and configuration, publishes a new snapshot of the
 * routes to its workers at each change, and watches the store while it is one of the watchers of
 * its failure domain. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/balancer_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/log.h"
#include "kumquat/service_document.h"

#define TICK_MS           20
#define FLOW_TABLE_SHARDS 64

static void
swap_routes (KqForwarder *forwarder, KqRoutes *fresh)
{
  pthread_rwlock_wrlock (&forwarder->routes_lock);
  KqRoutes *old = forwarder->routes;
  forwarder->routes = fresh;
  pthread_rwlock_unlock (&forwarder->routes_lock);
  atomic_fetch_add (&forwarder->routes_version, 1);
  talloc_free (old);
}

static void
update_routes (KqBalancer *balancer)
{
  unsigned count;
  if (balancer->control == NULL)
    return;
  const KqMember *members = kq_control_members (balancer->control, &count);
  KqRoutes *fresh =
      kq_routes_new (balancer, balancer->catalog, members, count, balancer->forwarder.routes);
  if (fresh == NULL)
    {
      kq_log (LOG_ERR, "routes-failed", "remedy=\"raise the memory limit\"");
      return;
    }
  swap_routes (&balancer->forwarder, fresh);
  for (unsigned i = 0; i < balancer->params.workers; i++)
    if (balancer->workers[i] != NULL)
      kq_balancer_worker_wake (balancer->workers[i]);
}

static void
store_changed (const KqStoreReply *reply, void *data)
{
  KqBalancer *balancer = data;
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      kq_log (LOG_WARNING, "store-unreachable", "error=%s",
              kq_log_quote (reply->error.message, quoted));
      return;
    }
  for (unsigned i = 0; i < reply->count; i++)
    {
      const KqStoreValue *value = &reply->values[i];
      KqRevision revision = { KQ_EPOCH_FIRST, value->mod_revision };
      KqService service;
      if (kq_service_parse (value->bytes, value->size, revision, &service, &error) < 0)
        {
          kq_log (LOG_ERR, "document-refused", "key=%s error=%s", value->key,
                  kq_log_quote (error.message, quoted));
          error.kind = KQ_ERROR_NONE;
          continue;
        }
      KqDocument document = { .service = service.number,
                              .revision = service.revision,
                              .bytes = value->bytes,
                              .size = value->size };
      kq_control_publish (balancer->control, &document, NULL);
    }
}

static void
update_watch (KqBalancer *balancer)
{
  bool wanted = kq_control_is_watcher (balancer->control) && !balancer->shutting_down;
  if (wanted == balancer->watching)
    return;
  balancer->watching = wanted;
  kq_log (LOG_INFO, wanted ? "watch-started" : "watch-ended", "prefix=%s", KQ_STORE_SERVICES);
  if (wanted)
    kq_store_watch (balancer->store, KQ_STORE_SERVICES, store_changed, balancer);
  else
    kq_store_unwatch (balancer->store);
}

static void
members_changed (void *data)
{
  KqBalancer *balancer = data;
  if (balancer->control == NULL)
    return;
  update_routes (balancer);
  update_watch (balancer);
}

static void
document_changed (const KqDocument *document, void *data)
{
  KqBalancer *balancer = data;
  KqService service;
  if (kq_program_parse_service (document, &service) < 0)
    return;
  if (kq_service_catalog_store (balancer->catalog, &service) <= 0)
    return;
  kq_log (LOG_NOTICE, "service-in-force", "service=%s number=%u epoch=%u revision=%llu",
          service.name, service.number, service.revision.epoch,
          (unsigned long long)service.revision.revision);
  update_routes (balancer);
  kq_control_set_phase (balancer->control, KQ_PHASE_SERVING);
}

static void
incarnation_changed (uint64_t incarnation, void *data)
{
  (void)data;
  kq_log (LOG_WARNING, "woke-after-pause", "incarnation=%llu", (unsigned long long)incarnation);
}

static void
continue_shutdown (KqBalancer *balancer, KqTime now)
{
  if (now - balancer->shutdown_at < balancer->params.linger_us)
    return;
  void (*done) (void *) = balancer->shutdown_done;
  balancer->shutdown_done = NULL;
  if (done != NULL)
    done (balancer->shutdown_data);
}

static void
on_tick (struct tevent_context *ev, struct tevent_timer *timer, struct timeval at, void *data)
{
  KqBalancer *balancer = data;
  KqTime now = kq_clock_now ();
  (void)timer;
  (void)at;
  kq_flow_table_expire (balancer->forwarder.flows, now);
  if (balancer->shutting_down)
    continue_shutdown (balancer, now);
  tevent_add_timer (ev, balancer, tevent_timeval_current_ofs (0, TICK_MS * 1000), on_tick,
                    balancer);
}

/* Joins the workers before the state that they share is freed. */
static int
destroy (KqBalancer *balancer)
{
  for (unsigned i = 0; i < KQ_WORKERS_MAX; i++)
    TALLOC_FREE (balancer->workers[i]);
  pthread_rwlock_destroy (&balancer->forwarder.routes_lock);
  return 0;
}

static int
start_control (KqBalancer *balancer, KqError *error)
{
  static const KqControlOps ops = { .members_changed = members_changed,
                                    .document_changed = document_changed,
                                    .incarnation_changed = incarnation_changed };
  const KqBalancerParams *params = &balancer->params;
  KqControlParams control = params->control;
  kq_program_init_self (&control.self, KQ_ROLE_BALANCER, params->name, params->failure_domain,
                        &params->data);
  balancer->control = kq_control_new (balancer, balancer->ev, &control, &ops, balancer, error);
  return balancer->control == NULL ? -1 : 0;
}

static int
start_forwarder (KqBalancer *balancer, KqError *error)
{
  const KqBalancerParams *params = &balancer->params;
  KqForwarder *forwarder = &balancer->forwarder;
  forwarder->data = params->data;
  forwarder->flows =
      kq_flow_table_new (balancer, params->flows_max, FLOW_TABLE_SHARDS, params->flow_idle_us);
  if (forwarder->flows == NULL)
    return kq_error_set (error, KQ_ERROR_FULL, "out of memory for the flow table; lower flows.max");
  for (unsigned i = 0; i < params->workers; i++)
    {
      balancer->workers[i] = kq_balancer_worker_new (balancer, forwarder, error);
      if (balancer->workers[i] == NULL)
        return -1;
    }
  return 0;
}

KqBalancer *
kq_balancer_new (const void *parent, struct tevent_context *ev, const KqBalancerParams *params,
                 KqError *error)
{
  KqBalancer *balancer = talloc_zero (parent, KqBalancer);
  if (balancer == NULL)
    return NULL;
  balancer->ev = ev;
  balancer->params = *params;
  pthread_rwlock_init (&balancer->forwarder.routes_lock, NULL);
  talloc_set_destructor (balancer, destroy);
  balancer->catalog = kq_service_catalog_new (balancer);
  balancer->store = kq_store_new (balancer, ev, params->store, params->store_count,
                                  params->store_timeout_us, NULL, error);
  if (balancer->store == NULL || start_forwarder (balancer, error) < 0 ||
      start_control (balancer, error) < 0 || kq_balancer_http_open (balancer, error) < 0)
    goto error;
  update_watch (balancer);
  tevent_add_timer (ev, balancer, tevent_timeval_zero (), on_tick, balancer);
  return balancer;

error:
  talloc_free (balancer);
  return NULL;
}

void
kq_balancer_shutdown (KqBalancer *balancer, void (*done) (void *data), void *data)
{
  balancer->shutting_down = true;
  balancer->shutdown_at = kq_clock_now ();
  balancer->shutdown_done = done;
  balancer->shutdown_data = data;
  update_watch (balancer);
  kq_control_leave (balancer->control);
}

static bool
needs_restart (const KqBalancerParams *old, const KqBalancerParams *new)
{
  return strcmp (old->name, new->name) != 0 ||
         strcmp (old->failure_domain, new->failure_domain) != 0 ||
         !kq_address_equal (&old->data, &new->data) ||
         !kq_address_equal (&old->control.self.control, &new->control.self.control) ||
         !kq_address_equal (&old->http, &new->http) || old->workers != new->workers ||
         old->flows_max != new->flows_max || old->flow_idle_us != new->flow_idle_us;
}

void
kq_balancer_reload (KqBalancer *balancer, const KqBalancerParams *params)
{
  KqBalancerParams *own = &balancer->params;
  if (needs_restart (own, params))
    kq_log (LOG_WARNING, "settings-need-restart", "instance=%s", own->name);
  own->linger_us = params->linger_us;
  memcpy (own->operator_key, params->operator_key, sizeof own->operator_key);
  memcpy (own->operator_key_old, params->operator_key_old, sizeof own->operator_key_old);
  kq_program_update_control (balancer->control, &params->control);
}
