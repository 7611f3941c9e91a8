/* The agent process: it receives its service's configuration from its peers, announces its target,
 * applies the drains of the configuration, and shuts down without aborting requests. */

#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/agent_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/internal/test_switch.h"
#include "kumquat/log.h"
#include "kumquat/service_document.h"

#define TICK_MS                   5
#define DISCOVERY_PROBE_INTERVALS 6 /* time in which gossip reaches all members */

static KqMember
self_member (const KqAgent *agent)
{
  return *kq_control_self (agent->control);
}

/* Targets that start at the same time must have discovered each other before one accepts a flow.
 * Otherwise two agents could each consider itself the home of a bucket and place the same flow on
 * two targets. */
static bool
has_discovered_peers (const KqAgent *agent)
{
  KqTime discovery_us = agent->params.control.probe_interval_us * DISCOVERY_PROBE_INTERVALS;
  return kq_clock_now () - agent->announced_at >= discovery_us;
}

static KqTargetPhase
derive_phase (const KqAgent *agent)
{
  KqMember self = self_member (agent);
  if (agent->service.number == 0)
    return KQ_PHASE_STARTING;
  bool not_admitted = agent->service.removed || !kq_service_admits (&agent->service, &self);
  if ((agent->shutting_down || not_admitted) && !kq_test_is_disabled ("drain"))
    return KQ_PHASE_DRAINING;
  if (!has_discovered_peers (agent))
    return KQ_PHASE_STARTING;
  if (!kq_target_probe_is_responsive (agent->probe) && agent->service.protocol == KQ_PROTOCOL_COAP)
    return KQ_PHASE_STARTING;
  return KQ_PHASE_SERVING;
}

static const char *
phase_name (KqTargetPhase phase)
{
  static const char *const names[] = { "starting", "serving", "draining", "empty" };
  return names[phase];
}

static void
update_view (KqAgent *agent)
{
  unsigned count;
  if (agent->placement == NULL)
    return;
  const KqMember *members = kq_control_members (agent->control, &count);
  KqServiceView view;
  void *scratch = talloc_new (agent);
  if (kq_service_view_collect (scratch, &agent->service, members, count, &view) == 0)
    kq_placement_set_view (agent->placement, &view, kq_clock_now ());
  talloc_free (scratch);
}

/* Derives the phase from configuration, target and shutdown, and announces it when it changes. */
static void
update_phase (KqAgent *agent)
{
  KqTargetPhase phase = derive_phase (agent);
  if (phase == agent->phase)
    return;
  kq_log (LOG_NOTICE, "phase-changed", "from=%s to=%s", phase_name (agent->phase),
          phase_name (phase));
  agent->phase = phase;
  if (phase == KQ_PHASE_DRAINING)
    agent->draining_since = kq_clock_now ();
  if (agent->guard != NULL && phase == KQ_PHASE_DRAINING)
    kq_request_guard_drain (agent->guard, kq_clock_now ());
  if (agent->placement != NULL)
    kq_placement_set_draining (agent->placement, phase != KQ_PHASE_SERVING, kq_clock_now ());
  kq_control_set_phase (agent->control, phase);
  update_view (agent);
}

static void
members_changed (void *data)
{
  KqAgent *agent = data;
  unsigned count;
  if (agent->control == NULL)
    return;
  const KqMember *members = kq_control_members (agent->control, &count);
  kq_return_paths_update (&agent->paths, members, count);
  update_view (agent);
}

static void
apply_service (KqAgent *agent, const KqService *service)
{
  bool first = agent->service.number == 0;
  agent->service = *service;
  if (first)
    {
      agent->announced_at = kq_clock_now ();
      kq_control_set_service (agent->control, service->number);
      if (kq_agent_incarnation_start (agent) < 0)
        kq_log (LOG_ERR, "life-start-failed", "remedy=\"raise the memory limit\"");
    }
  else if (agent->guard != NULL)
    kq_agent_apply_limits (agent);
  kq_log (LOG_NOTICE, "service-in-force", "service=%s number=%u epoch=%u revision=%llu",
          service->name, service->number, service->revision.epoch,
          (unsigned long long)service->revision.revision);
  update_phase (agent);
  update_view (agent);
}

static void
document_changed (const KqDocument *document, void *data)
{
  KqAgent *agent = data;
  KqService service;
  if (kq_program_parse_service (document, &service) < 0)
    return;
  if (strcmp (service.name, agent->params.service) != 0)
    return;
  if (agent->service.number != 0 && service.number != agent->service.number)
    return;
  apply_service (agent, &service);
}

/* The process was paused, and its peers declared it dead and moved its flows to other targets. The
 * agent discards its own state of them and starts again. */
static void
incarnation_changed (uint64_t incarnation, void *data)
{
  KqAgent *agent = data;
  kq_log (LOG_WARNING, "woke-after-pause", "incarnation=%llu", (unsigned long long)incarnation);
  if (agent->placement == NULL)
    return;
  kq_agent_incarnation_end (agent);
  if (kq_agent_incarnation_start (agent) < 0)
    kq_log (LOG_ERR, "life-start-failed", "remedy=\"raise the memory limit\"");
  if (agent->placement != NULL)
    kq_placement_set_draining (agent->placement, agent->phase != KQ_PHASE_SERVING, kq_clock_now ());
  update_view (agent);
}

static void
target_changed (bool answers, void *data)
{
  KqAgent *agent = data;
  kq_log (LOG_NOTICE, answers ? "target-answers" : "target-silent", "service=%s",
          agent->params.service);
  update_phase (agent);
}

static bool
is_idle (const KqAgent *agent)
{
  if (agent->placement == NULL || kq_test_is_disabled ("wait"))
    return true;
  return kq_request_guard_idle (agent->guard) &&
         kq_placement_stats (agent->placement).flows_open == 0;
}

static void
continue_shutdown (KqAgent *agent, KqTime now)
{
  bool limit_passed = now - agent->shutdown_at >= agent->params.drain_limit_us;
  if (!agent->left && (is_idle (agent) || limit_passed))
    {
      uint64_t cut =
          agent->placement == NULL ? 0 : kq_placement_stats (agent->placement).flows_open;
      kq_log (LOG_NOTICE, "drain-finished", "flows_cut=%llu", (unsigned long long)cut);
      agent->left = true;
      agent->left_at = now;
      kq_control_leave (agent->control);
    }
  if (agent->left && now - agent->left_at >= agent->params.linger_us)
    {
      void (*done) (void *) = agent->shutdown_done;
      agent->shutdown_done = NULL;
      if (done != NULL)
        done (agent->shutdown_data);
    }
}

/* An operator has confirmed the time limit of a drain together with the plan, which listed the
 * flows that are closed when the limit expires. */
static void
enforce_drain_limit (KqAgent *agent, KqTime now)
{
  KqMember self = self_member (agent);
  if (agent->phase != KQ_PHASE_DRAINING || kq_service_admits (&agent->service, &self))
    return;
  KqTime limit = kq_service_drain_limit_ms (&agent->service, &self) * KQ_MS;
  if (limit == 0 || now - agent->draining_since < limit)
    return;
  unsigned cut = kq_placement_close_all (agent->placement, now);
  if (cut > 0)
    kq_log (LOG_WARNING, "drain-limit-reached", "flows_cut=%u", cut);
}

static void
sample_burn_rate (KqAgent *agent, KqTime now)
{
  KqRequestGuardStats stats = kq_request_guard_stats (agent->guard);
  KqBurnCounts counts = { .total = stats.answered + stats.refused_not_run + stats.outcome_unknown,
                          .good = stats.answered_in_time,
                          .worth = stats.worth_answered };
  kq_burn_sample (agent->burn, &counts, now);
}

static void
on_tick (struct tevent_context *ev, struct tevent_timer *timer, struct timeval at, void *data)
{
  KqAgent *agent = data;
  KqTime now = kq_clock_now ();
  (void)timer;
  (void)at;
  if (agent->placement != NULL)
    {
      kq_placement_tick (agent->placement, now);
      kq_request_guard_tick (agent->guard, now);
      enforce_drain_limit (agent, now);
      sample_burn_rate (agent, now);
    }
  if (agent->phase == KQ_PHASE_STARTING)
    update_phase (agent);
  if (agent->shutting_down)
    continue_shutdown (agent, now);
  tevent_add_timer (ev, agent, tevent_timeval_current_ofs (0, TICK_MS * 1000), on_tick, agent);
}

static int
destroy (KqAgent *agent)
{
  TALLOC_FREE (agent->data_event);
  if (agent->data_fd >= 0)
    close (agent->data_fd);
  return 0;
}

static int
start_control (KqAgent *agent, KqError *error)
{
  static const KqControlOps ops = { .members_changed = members_changed,
                                    .document_changed = document_changed,
                                    .incarnation_changed = incarnation_changed };
  const KqAgentParams *params = &agent->params;
  KqControlParams control = params->control;
  kq_program_init_self (&control.self, KQ_ROLE_AGENT, params->name, params->failure_domain,
                        &params->data);
  control.self.weight = params->weight;
  memcpy (control.service_name, params->service, sizeof control.service_name);
  agent->control = kq_control_new (agent, agent->ev, &control, &ops, agent, error);
  return agent->control == NULL ? -1 : 0;
}

KqAgent *
kq_agent_new (const void *parent, struct tevent_context *ev, const KqAgentParams *params,
              KqError *error)
{
  KqAgent *agent = talloc_zero (parent, KqAgent);
  if (agent == NULL)
    return NULL;
  agent->data_fd = -1;
  agent->ev = ev;
  agent->params = *params;
  talloc_set_destructor (agent, destroy);
  kq_random_seed_system (&agent->random);
  agent->burn = kq_burn_new (agent, kq_clock_now ());
  if (agent->burn == NULL)
    {
      kq_error_set (error, KQ_ERROR_FULL, "out of memory for SLO windows; raise the memory limit");
      goto error;
    }
  agent->probe = kq_target_probe_new (agent, ev, &params->target, target_changed, agent, error);
  if (agent->probe == NULL || kq_agent_data_open (agent, error) < 0 ||
      start_control (agent, error) < 0 || kq_agent_http_open (agent, error) < 0)
    goto error;
  tevent_add_timer (ev, agent, tevent_timeval_zero (), on_tick, agent);
  return agent;

error:
  talloc_free (agent);
  return NULL;
}

void
kq_agent_shutdown (KqAgent *agent, void (*done) (void *data), void *data)
{
  agent->shutting_down = true;
  agent->shutdown_at = kq_clock_now ();
  agent->shutdown_done = done;
  agent->shutdown_data = data;
  update_phase (agent);
}

static bool
needs_restart (const KqAgentParams *old, const KqAgentParams *new)
{
  return strcmp (old->name, new->name) != 0 ||
         strcmp (old->failure_domain, new->failure_domain) != 0 ||
         strcmp (old->service, new->service) != 0 || !kq_address_equal (&old->data, &new->data) ||
         !kq_address_equal (&old->control.self.control, &new->control.self.control) ||
         !kq_address_equal (&old->http, &new->http) ||
         !kq_address_equal (&old->target, &new->target) || old->weight != new->weight ||
         old->admit_load != new->admit_load || old->flow_idle_us != new->flow_idle_us ||
         old->ramp_us != new->ramp_us;
}

void
kq_agent_reload (KqAgent *agent, const KqAgentParams *params)
{
  KqAgentParams *own = &agent->params;
  if (needs_restart (own, params))
    kq_log (LOG_WARNING, "settings-need-restart", "instance=%s", own->name);
  if (memcmp (own->echo_key, params->echo_key, sizeof own->echo_key) != 0 && agent->guard != NULL)
    kq_request_guard_rotate_echo_key (agent->guard, params->echo_key);
  memcpy (own->echo_key, params->echo_key, sizeof own->echo_key);
  own->queue_max = params->queue_max;
  own->drain_limit_us = params->drain_limit_us;
  own->linger_us = params->linger_us;
  kq_program_update_control (agent->control, &params->control);
  if (agent->guard != NULL)
    kq_agent_apply_limits (agent);
}
