#include <string.h>
#include <talloc.h>

#include "kumquat/internal/agent_impl.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/log.h"
#include "kumquat/program.h"

static const KqSettingSpec specs[] = {
  KQ_SETTING_SPEC_NAME,
  KQ_SETTING_SPEC_FAILURE_DOMAIN,
  { "data.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address that balancers and agents send data datagrams to" },
  KQ_SETTING_SPECS_CONTROL,
  { "target.service", KQ_SETTING_TEXT, true, 1, KQ_NAME_BYTES - 1, NULL,
    "name of the service that the target serves" },
  { "target.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL, "address of the target" },
  { "target.weight", KQ_SETTING_INTEGER, false, 1, 1000, "100", "relative share of the flows" },
  { "target.ramp_ms", KQ_SETTING_INTEGER, false, 0, 600000, "2000",
    "milliseconds of slow start: the usable slots of a cold target grow to all slots" },
  { "target.refusals_not_run", KQ_SETTING_BOOLEAN, false, 0, 0, "false",
    "whether the target guarantees that a request answered with 5.03 was not executed" },
  { "flows.idle_s", KQ_SETTING_INTEGER, false, 5, 86400, "120",
    "seconds without a datagram after which a flow is closed" },
  { "flows.admit_load_permille", KQ_SETTING_INTEGER, false, 0, 100000, "800",
    "load per thousand slots below which a new flow is admitted without asking other targets" },
  { "requests.queue_max", KQ_SETTING_INTEGER, false, 0, 1000, "64",
    "maximum number of requests that wait for a slot" },
  { "shutdown.drain_limit_s", KQ_SETTING_INTEGER, false, 0, 86400, "300",
    "seconds for which a shutdown waits for open flows" },
  { "shutdown.linger_s", KQ_SETTING_INTEGER, false, 0, 600, "8",
    "seconds for which a process that left the membership continues to forward" },
  { "echo.key", KQ_SETTING_TEXT, true, 64, 64, NULL,
    "key of Echo values, 64 hexadecimal digits, the same on all agents of a service" },
  { "http.address", KQ_SETTING_ADDRESS, true, 0, 0, NULL,
    "address of /metrics, /healthz, /readyz and /v1/target" },
};

static void
fill_params (const KqSettings *settings, KqAgentParams *params)
{
  memset (params, 0, sizeof *params);
  kq_program_copy_name (params->name, kq_settings_text (settings, "name"));
  kq_program_copy_name (params->failure_domain, kq_settings_text (settings, "failure_domain"));
  kq_program_copy_name (params->service, kq_settings_text (settings, "target.service"));
  params->data = kq_settings_address (settings, "data.address");
  kq_program_read_control_params (settings, &params->control);
  params->http = kq_settings_address (settings, "http.address");
  params->target = kq_settings_address (settings, "target.address");
  params->weight = (uint16_t)kq_settings_integer (settings, "target.weight");
  params->ramp_us = kq_settings_integer (settings, "target.ramp_ms") * KQ_MS;
  params->refusals_not_run = kq_settings_boolean (settings, "target.refusals_not_run");
  params->flow_idle_us = kq_settings_integer (settings, "flows.idle_s") * KQ_SECOND;
  params->admit_load = (unsigned)kq_settings_integer (settings, "flows.admit_load_permille");
  params->queue_max = (unsigned)kq_settings_integer (settings, "requests.queue_max");
  params->drain_limit_us = kq_settings_integer (settings, "shutdown.drain_limit_s") * KQ_SECOND;
  params->linger_us = kq_settings_integer (settings, "shutdown.linger_s") * KQ_SECOND;
  kq_program_parse_key (kq_settings_text (settings, "echo.key"), params->echo_key);
}

static int
check (const KqSettings *settings, const char *path, KqError *error)
{
  uint8_t key[KQ_KEY_BYTES];
  if (kq_program_check_control (settings, path, error) < 0)
    return -1;
  if (kq_program_parse_key (kq_settings_text (settings, "echo.key"), key) < 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "%s:%u: echo.key: not hexadecimal; write 64 digits of 0-9 and a-f", path,
                         kq_settings_line (settings, "echo.key"));
  return 0;
}

static void *
start (KqProgram *program, struct tevent_context *ev, const KqSettings *settings, KqError *error)
{
  KqAgentParams params;
  fill_params (settings, &params);
  return kq_agent_new (program, ev, &params, error);
}

static void
shutdown_done (void *data)
{
  kq_program_quit (data, KQ_EXIT_OK);
}

static void
stop (void *state)
{
  KqAgent *agent = state;
  kq_agent_shutdown (agent, shutdown_done, talloc_parent (agent));
}

static void
reload (void *state, const KqSettings *settings)
{
  KqAgentParams params;
  fill_params (settings, &params);
  kq_agent_reload (state, &params);
}

int
kq_agent_main (int argc, const char **argv)
{
  static const KqProgramOps ops = {
    .name = "kumquat-agent",
    .summary = "runs beside a target: announces it, tracks its flows and limits its requests",
    .specs = specs,
    .spec_count = sizeof specs / sizeof specs[0],
    .check = check,
    .start = start,
    .stop = stop,
    .reload = reload,
  };
  return kq_program_run (&ops, argc, argv);
}
