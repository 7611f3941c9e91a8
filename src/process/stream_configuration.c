#include <string.h>
#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/stream_configuration.h"
#include "kumquat/internal/stream_evacuation.h"
#include "kumquat/internal/stream_process.h"
#include "kumquat/internal/timer.h"
#include "kumquat/log.h"

/* A new configuration must be in force within 3 s. When gossip has announced it, a peer delivers it
 * within 0.5 s, or else this process watches the store for it. When gossip has not announced it,
 * the periodic read of the store finds it within 2 s. */
#define REFRESH_US             (250 * KQ_MS)
#define OUTDATED_REFRESHES_MAX 2
#define REFRESHES_PER_READ     8

/* Above this size, reading the configuration with each check would take 4% of a link of 10 Mbit/s.
 * A check for changes costs ten times the price of a stale read. */
#define LARGE_ROUTES_BYTES 65536

/**
 * struct KqStreamConfiguration - state of a balancer's view of what operators write
 * @refreshes: number of checks for a newer configuration
 * @outdated_refreshes: consecutive checks at which gossip had announced a newer configuration that
 * this process had not received
 * @applied_era: era of the store when the version in force was applied, or an older one reported
 * @routes_bytes: size of the last configuration that was received
 * @routes_revision: store revision up to which the configuration is known
 * @routes_era: era of the store that @routes_revision belongs to
 * @reads: periodic reads of the store in progress
 * @watching: a watch on the store is active
 * @stopping: the process was asked to stop
 */
struct KqStreamConfiguration
{
  KqStreamConfigurationParams params;
  KqEvacuation *evacuation;
  KqTimer *refresh_timer;
  unsigned refreshes;
  unsigned outdated_refreshes;
  uint32_t applied_era;
  size_t routes_bytes;
  uint64_t routes_revision;
  uint32_t routes_era;
  unsigned reads;
  bool watching;
  bool stopping;
};

/* Applies a configuration. Return: whether it is newer than the previous one. */
static bool
apply_routes (KqStreamConfiguration *configuration, const uint8_t *bytes, size_t size,
              const char *source)
{
  uint32_t era = kq_store_era (configuration->params.store);
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  const KqRouteTable *before = kq_stream_router_routes (configuration->params.router);
  unsigned long long old = before == NULL ? 0 : before->version;
  KqRouteTable *routes = NULL;
  if (size > KQ_DOCUMENT_BYTES)
    kq_error_set (&error, KQ_ERROR_RANGE,
                  "the configuration has %zu bytes; reduce it to at most %u", size,
                  KQ_DOCUMENT_BYTES);
  else
    routes = configuration->params.adapter->decode_routes (configuration, (const char *)bytes, size,
                                                           &error);
  if (routes == NULL)
    {
      kq_log (LOG_ERR, "configuration-refused", "source=%s error=%s", source,
              kq_log_quote (error.message, quoted));
      return false;
    }
  unsigned long long version = routes->version;
  unsigned count = routes->count;
  if (!kq_stream_router_set_routes (configuration->params.router, routes, kq_clock_now ()))
    {
      if (version < old && era != configuration->applied_era)
        kq_log (LOG_WARNING, "configuration-older",
                "source=%s version=%llu in_force=%llu era=%u reason=\"the store was restored from "
                "an older copy; the version in force stays until the operator writes again\"",
                source, version, old, era);
      if (version < old)
        configuration->applied_era = era;
      return false;
    }
  configuration->applied_era = era;
  kq_log (LOG_NOTICE, "configuration-in-force", "source=%s version=%llu before=%llu routes=%u",
          source, version, old, count);
  configuration->params.changed (configuration->params.data);
  return true;
}

static void
update_routes_trust (KqStreamConfiguration *configuration)
{
  kq_stream_router_trust_routes (configuration->params.router,
                                 !configuration->watching ||
                                     kq_store_is_reachable (configuration->params.store));
}

static void
evacuation_changed (KqStreamConfiguration *configuration, const char *source)
{
  kq_stream_evacuation_log (configuration->evacuation, source);
  kq_stream_router_set_evacuation (configuration->params.router, configuration->evacuation);
}

/* Applies and disseminates a newer configuration. */
static void
apply_routes_key (KqStreamConfiguration *configuration, const KqStoreReply *reply)
{
  char quoted[KQ_LOG_QUOTE_BYTES];
  for (unsigned i = 0; i < reply->count; i++)
    {
      const KqStoreValue *value = &reply->values[i];
      if (strcmp (value->key, configuration->params.adapter->routes_key) != 0 ||
          value->mod_revision == 0)
        continue;
      configuration->routes_bytes = value->size;
      configuration->routes_revision = value->mod_revision;
      configuration->routes_era = reply->era;
      if (!apply_routes (configuration, value->bytes, value->size, "store"))
        continue;
      KqDocument document = {
        .service = KQ_ROUTES_DOCUMENT,
        .revision = { KQ_ROUTES_EPOCH,
                      kq_stream_router_routes (configuration->params.router)->version },
        .bytes = value->bytes,
        .size = value->size
      };
      KqError error = { 0 };
      if (kq_control_publish (configuration->params.control, &document, &error) < 0)
        kq_log (LOG_WARNING, "configuration-not-spread", "error=%s",
                kq_log_quote (error.message, quoted));
    }
}

/* Return: whether the store answered. */
static bool
check_reply (KqStreamConfiguration *configuration, const KqStoreReply *reply)
{
  char quoted[KQ_LOG_QUOTE_BYTES];
  update_routes_trust (configuration);
  if (reply->error.kind != KQ_ERROR_NONE)
    {
      kq_log (LOG_WARNING, "store-unreachable", "error=%s",
              kq_log_quote (reply->error.message, quoted));
      return false;
    }
  configuration->params.store_answered (configuration->params.data);
  return true;
}

static void
store_changed (const KqStoreReply *reply, void *data)
{
  KqStreamConfiguration *configuration = data;
  if (!check_reply (configuration, reply))
    return;
  apply_routes_key (configuration, reply);
  configuration->routes_revision = reply->revision;
  configuration->routes_era = reply->era;
  if (!kq_stream_evacuation_read (configuration->evacuation,
                                  configuration->params.adapter->evacuation_prefix, reply,
                                  kq_clock_now ()))
    return;
  evacuation_changed (configuration, "store");
  kq_stream_evacuation_disseminate (configuration->evacuation, configuration->params.control);
}

static void
stale_read_done (const KqStoreReply *reply, void *data)
{
  KqStreamConfiguration *configuration = data;
  configuration->reads--;
  if (!check_reply (configuration, reply))
    return;
  apply_routes_key (configuration, reply);
  if (kq_stream_evacuation_read_stale (configuration->evacuation,
                                       configuration->params.adapter->evacuation_prefix, reply,
                                       kq_clock_now ()))
    evacuation_changed (configuration, "stale-read");
}

static void
check_done (const KqStoreReply *reply, void *data)
{
  KqStreamConfiguration *configuration = data;
  configuration->reads--;
  if (!check_reply (configuration, reply))
    return;
  apply_routes_key (configuration, reply);
  configuration->routes_revision = reply->revision;
  configuration->routes_era = reply->era;
}

/* Reads what the operators wrote; of a large configuration only what changed. A read that takes
 * longer than the interval is not started again. */
static void
read_store (KqStreamConfiguration *configuration)
{
  const KqStreamAdapter *adapter = configuration->params.adapter;
  bool large = configuration->routes_bytes > LARGE_ROUTES_BYTES;
  if (configuration->reads > 0)
    return;
  configuration->reads = large ? 2 : 1;
  kq_store_read_stale (configuration->params.store,
                       large ? adapter->evacuation_prefix : adapter->operator_prefix,
                       stale_read_done, configuration);
  if (large)
    kq_store_check (configuration->params.store, adapter->routes_key,
                    configuration->routes_revision, configuration->routes_era, check_done,
                    configuration);
}

/* Only a few balancers of a failure domain watch the store. Two others do so as well: one without a
 * configuration, since its peers may have none either, and one to which a newer configuration was
 * announced but not delivered by the peers that have it. */
static void
update_watch (KqStreamConfiguration *configuration)
{
  bool wanted =
      !configuration->stopping && (kq_control_is_watcher (configuration->params.control) ||
                                   configuration->outdated_refreshes >= OUTDATED_REFRESHES_MAX ||
                                   kq_stream_router_routes (configuration->params.router) == NULL);
  if (wanted == configuration->watching)
    return;
  configuration->watching = wanted;
  kq_log (LOG_INFO, wanted ? "watch-started" : "watch-ended", "key=%s",
          configuration->params.adapter->operator_prefix);
  if (wanted)
    kq_store_watch (configuration->params.store, configuration->params.adapter->operator_prefix,
                    store_changed, configuration);
  else
    kq_store_unwatch (configuration->params.store);
}

/* Reads the store periodically: a balancer that is partitioned from its peers may still reach the
 * store and its callers. */
static void
on_refresh (void *data)
{
  KqStreamConfiguration *configuration = data;
  kq_timer_set (configuration->refresh_timer, kq_clock_now () + REFRESH_US);
  configuration->outdated_refreshes =
      kq_control_document_outdated (configuration->params.control, KQ_ROUTES_DOCUMENT)
          ? configuration->outdated_refreshes + 1
          : 0;
  configuration->params.refreshed (configuration->params.data);
  if (kq_evacuation_expire (configuration->evacuation, kq_clock_now ()))
    {
      evacuation_changed (configuration, "not-written-again");
      if (configuration->watching)
        kq_stream_evacuation_disseminate (configuration->evacuation, configuration->params.control);
    }
  update_watch (configuration);
  if (++configuration->refreshes % REFRESHES_PER_READ == 0 && !configuration->watching &&
      !configuration->stopping)
    read_store (configuration);
}

KqStreamConfiguration *
kq_stream_configuration_new (const void *parent, struct tevent_context *ev,
                             const KqStreamConfigurationParams *params, KqError *error)
{
  KqStreamConfiguration *configuration = talloc_zero (parent, KqStreamConfiguration);
  if (configuration != NULL)
    configuration->evacuation = kq_evacuation_new (configuration);
  if (configuration == NULL || configuration->evacuation == NULL)
    {
      kq_error_set (error, KQ_ERROR_SYSTEM,
                    "out of memory for the configuration; raise the memory limit");
      goto error;
    }
  configuration->params = *params;
  configuration->refresh_timer = kq_timer_new (configuration, ev, on_refresh, configuration, error);
  if (configuration->refresh_timer == NULL)
    goto error;
  kq_timer_set (configuration->refresh_timer, kq_clock_now () + REFRESH_US);
  update_watch (configuration);
  return configuration;

error:
  talloc_free (configuration);
  return NULL;
}

void
kq_stream_configuration_members_changed (KqStreamConfiguration *configuration)
{
  update_watch (configuration);
  update_routes_trust (configuration);
}

void
kq_stream_configuration_document_received (KqStreamConfiguration *configuration,
                                           const KqDocument *document)
{
  if (document->service == KQ_ROUTES_DOCUMENT)
    {
      configuration->routes_bytes = document->size;
      apply_routes (configuration, document->bytes, document->size, "peer");
    }
  else if (document->service == KQ_EVACUATION_DOCUMENT &&
           kq_stream_evacuation_receive (configuration->evacuation, document, kq_clock_now ()))
    evacuation_changed (configuration, "peer");
}

void
kq_stream_configuration_stop (KqStreamConfiguration *configuration)
{
  configuration->stopping = true;
  update_watch (configuration);
}

unsigned
kq_stream_configuration_evacuated_count (const KqStreamConfiguration *configuration)
{
  return kq_evacuation_count (configuration->evacuation);
}
