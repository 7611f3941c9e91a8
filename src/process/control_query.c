/* Queries and commands of the process to its control plane, and its metrics. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/control_impl.h"

void
kq_control_set_keys (KqControl *control, const uint8_t key[KQ_CONTROL_KEY_BYTES],
                     const uint8_t *old_key)
{
  memcpy (control->keys.key, key, sizeof control->keys.key);
  control->keys.has_old_key = old_key != NULL;
  if (old_key != NULL)
    memcpy (control->keys.old_key, old_key, sizeof control->keys.old_key);
}

/* The copy is only updated when it is requested, so that a burst of changes costs one copy. */
static void
refresh_members (KqControl *control)
{
  unsigned live = kq_group_live (control->group);
  KqMember *members = talloc_realloc (control, control->members, KqMember, live + 1);
  if (members == NULL)
    return;
  control->members = members;
  control->member_count = kq_group_members (control->group, members, live);
  control->members_stale = false;
}

const KqMember *
kq_control_members (const KqControl *control, unsigned *count)
{
  refresh_members ((KqControl *)control);
  *count = control->member_count;
  return control->members;
}

bool
kq_control_bootstrapped (const KqControl *control)
{
  return kq_group_bootstrapped (control->group);
}

uint64_t *
kq_control_ended_agents (const void *parent, const KqControl *control, unsigned *count)
{
  return kq_group_ended_agents (parent, control->group, count);
}

const KqMember *
kq_control_self (const KqControl *control)
{
  KqControl *own = (KqControl *)control;
  own->self = kq_group_self (control->group);
  return &control->self;
}

void
kq_control_set_phase (KqControl *control, KqTargetPhase phase)
{
  kq_group_set_phase (control->group, phase, kq_clock_now ());
}

void
kq_control_set_service (KqControl *control, uint32_t service)
{
  kq_group_set_service (control->group, service, kq_clock_now ());
}

void
kq_control_introduce (KqControl *control, const KqAddress *addresses, unsigned count)
{
  kq_group_introduce (control->group, addresses, count, kq_clock_now ());
}

void
kq_control_set_seeds (KqControl *control, const KqAddress *seeds, unsigned count)
{
  kq_group_set_seeds (control->group, seeds, count, kq_clock_now ());
}

void
kq_control_peer_heard (KqControl *control, const KqAddress *address)
{
  kq_group_peer_heard (control->group, address, kq_clock_now ());
}

void
kq_control_leave (KqControl *control)
{
  kq_group_leave (control->group, kq_clock_now ());
}

int
kq_control_publish (KqControl *control, const KqDocument *document, KqError *error)
{
  return kq_group_publish (control->group, document, kq_clock_now (), error);
}

bool
kq_control_is_watcher (const KqControl *control)
{
  return kq_group_is_watcher (control->group);
}

int
kq_control_in_force (const KqControl *control, uint32_t service, KqDocumentStatus *in_force)
{
  return kq_group_in_force (control->group, service, in_force);
}

typedef struct
{
  const char *name;
  const char *type;
  const char *help;
  uint64_t value;
} Series;

static char *
append (char *text, const Series *series, size_t count)
{
  for (size_t i = 0; i < count && text != NULL; i++)
    text = talloc_asprintf_append_buffer (
        text, "# HELP %s %s\n# TYPE %s %s\n%s %llu\n", series[i].name, series[i].help,
        series[i].name, series[i].type, series[i].name, (unsigned long long)series[i].value);
  return text;
}

static char *
append_traffic (char *text, const KqControl *control, const KqGroupStats *stats)
{
  const KqTokenBucket *budget = kq_group_budget (control->group);
  const Series series[] = {
    { "kumquat_control_sent_bytes_total", "counter", "Bytes of control datagrams sent.",
      stats->bytes_sent },
    { "kumquat_control_bulk_sent_bytes_total", "counter", "Bytes of control messages over ZeroMQ.",
      stats->bulk_bytes_sent },
    { "kumquat_control_datagrams_total", "counter", "Control datagrams received.",
      stats->datagrams_received },
    { "kumquat_control_malformed_total", "counter", "Control messages that could not be read.",
      stats->malformed + kq_control_bulk_dropped (control->bulk) },
    { "kumquat_control_oversized_total", "counter", "Control messages above the largest size.",
      control->oversized },
    { "kumquat_control_wrong_key_total", "counter",
      "Control messages whose authentication code was wrong.", control->wrong_key },
    { "kumquat_control_misdirected_total", "counter", "Control datagrams meant for another.",
      stats->misdirected },
    { "kumquat_control_send_failures_total", "counter",
      "Control datagrams not taken by the kernel.", control->send_failures },
    { "kumquat_control_over_budget_total", "counter", "Messages that the budget held back.",
      budget->refused[0] + budget->refused[1] + budget->refused[2] },
  };
  return append (text, series, sizeof series / sizeof series[0]);
}

static char *
append_members (char *text, const KqControl *control, const KqGroupStats *stats)
{
  const Series series[] = {
    { "kumquat_members", "gauge", "Live members known.", kq_group_live (control->group) },
    { "kumquat_members_suspected", "gauge", "Members suspected now.", stats->suspected },
    { "kumquat_member_deaths_total", "counter", "Deaths declared by this instance.",
      stats->deaths_declared },
    { "kumquat_member_deaths_delayed_total", "counter", "Deaths held back by their rate limit.",
      stats->deaths_delayed },
    { "kumquat_member_refutations_total", "counter", "Suspicions that this instance refuted.",
      stats->refutations },
    { "kumquat_member_new_lives_total", "counter", "Incarnations taken after a pause.",
      stats->new_incarnations },
    { "kumquat_member_name_conflicts_total", "counter", "Another instance has this one's name.",
      stats->name_conflicts },
    { "kumquat_failure_domains_lost_total", "counter", "Failure domains that went silent.",
      stats->domains_lost },
    { "kumquat_documents_accepted_total", "counter", "Configuration documents taken.",
      stats->documents_accepted },
    { "kumquat_documents_refused_total", "counter", "Documents older than the one in force.",
      stats->documents_refused },
    { "kumquat_documents_damaged_total", "counter", "Documents in pages that were not usable.",
      stats->documents_damaged },
    { "kumquat_document_pages_served_total", "counter", "Pages of documents sent.",
      stats->pages_served },
    { "kumquat_document_pages_received_total", "counter", "Pages of documents received.",
      stats->pages_received },
    { "kumquat_document_pages_repeated_total", "counter", "Pages received a second time.",
      stats->pages_repeated },
    { "kumquat_document_pages_refused_total", "counter", "Pages with a false number or length.",
      stats->pages_refused },
    { "kumquat_document_pages_other_version_total", "counter",
      "Answers with pages of another version.", stats->pages_other_version },
    { "kumquat_document_transfers_stalled_total", "counter",
      "Transfers without a new page for 3 s.", stats->transfers_stalled },
    { "kumquat_gossip_queued", "gauge", "Changes that wait to be spread.", stats->gossip_queued },
  };
  return append (text, series, sizeof series / sizeof series[0]);
}

char *
kq_control_metrics (const void *parent, const KqControl *control)
{
  KqGroupStats stats = kq_group_stats (control->group);
  char *text = append_traffic (talloc_strdup (parent, ""), control, &stats);
  return append_members (text, control, &stats);
}

bool
kq_control_document_outdated (const KqControl *control, uint32_t service)
{
  return kq_group_document_outdated (control->group, service);
}
