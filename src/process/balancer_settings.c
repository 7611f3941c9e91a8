#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/balancer_impl.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/program.h"

#define OPERATOR_KEY_BYTES_MIN 16

static const KqSettingSpec specs[] = {
  KQ_SETTING_SPEC_NAME,
  KQ_SETTING_SPEC_FAILURE_DOMAIN,
  { "data.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address that agents answer to; services listen on the same IP" },
  { "data.workers", KQ_SETTING_INTEGER, false, 1, KQ_WORKERS_MAX, "2",
    "number of threads that forward datagrams" },
  { "flows.max", KQ_SETTING_INTEGER, false, 1000, 100000000, "1000000",
    "maximum number of flows in the flow table" },
  { "flows.idle_s", KQ_SETTING_INTEGER, false, 5, 86400, "120",
    "seconds after which an unused flow is removed from the flow table" },
  KQ_SETTING_SPECS_CONTROL,
  { "store.endpoints", KQ_SETTING_ADDRESS_LIST, true, 1, KQ_STORE_ENDPOINTS_MAX, NULL,
    "addresses of the store's HTTP gateway" },
  { "store.timeout_ms", KQ_SETTING_INTEGER, false, 50, 60000, "2000",
    "time limit in milliseconds of one call to the store" },
  { "http.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address of the operators' interface and of /metrics" },
  { "http.operator_key", KQ_SETTING_TEXT, true, OPERATOR_KEY_BYTES_MIN, 127, NULL,
    "key with which operators authenticate" },
  { "http.operator_key_old", KQ_SETTING_TEXT, false, 0, 127, "",
    "previous operator key, accepted during a key rotation" },
  { "shutdown.linger_s", KQ_SETTING_INTEGER, false, 0, 600, "5",
    "seconds for which a process that left the membership continues to forward" },
};

static void
fill_params (const KqSettings *settings, KqBalancerParams *params)
{
  memset (params, 0, sizeof *params);
  kq_program_copy_name (params->name, kq_settings_text (settings, "name"));
  kq_program_copy_name (params->failure_domain, kq_settings_text (settings, "failure_domain"));
  params->data = kq_settings_address (settings, "data.address");
  params->workers = (unsigned)kq_settings_integer (settings, "data.workers");
  params->flows_max = (unsigned)kq_settings_integer (settings, "flows.max");
  params->flow_idle_us = kq_settings_integer (settings, "flows.idle_s") * KQ_SECOND;
  kq_program_read_control_params (settings, &params->control);
  params->store_count =
      kq_settings_address_list (settings, "store.endpoints", params->store, KQ_STORE_ENDPOINTS_MAX);
  params->store_timeout_us = kq_settings_integer (settings, "store.timeout_ms") * KQ_MS;
  params->http = kq_settings_address (settings, "http.address");
  snprintf (params->operator_key, sizeof params->operator_key, "%s",
            kq_settings_text (settings, "http.operator_key"));
  snprintf (params->operator_key_old, sizeof params->operator_key_old, "%s",
            kq_settings_text (settings, "http.operator_key_old"));
  params->linger_us = kq_settings_integer (settings, "shutdown.linger_s") * KQ_SECOND;
}

static void *
start (KqProgram *program, struct tevent_context *ev, const KqSettings *settings, KqError *error)
{
  KqBalancerParams params;
  fill_params (settings, &params);
  return kq_balancer_new (program, ev, &params, error);
}

static void
shutdown_done (void *data)
{
  kq_program_quit (data, KQ_EXIT_OK);
}

static void
stop (void *state)
{
  KqBalancer *balancer = state;
  kq_balancer_shutdown (balancer, shutdown_done, talloc_parent (balancer));
}

static void
reload (void *state, const KqSettings *settings)
{
  KqBalancerParams params;
  fill_params (settings, &params);
  kq_balancer_reload (state, &params);
}

int
kq_balancer_main (int argc, const char **argv)
{
  static const KqProgramOps ops = {
    .name = "kumquat-balancer",
    .summary = "distributes callers' datagrams over targets and returns their answers",
    .specs = specs,
    .spec_count = sizeof specs / sizeof specs[0],
    .check = kq_program_check_control,
    .start = start,
    .stop = stop,
    .reload = reload,
  };
  return kq_program_run (&ops, argc, argv);
}
