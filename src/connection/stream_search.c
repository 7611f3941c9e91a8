/* Search for the agent that owns a stream. A balancer receives segments of a stream that it does
 * not know after another balancer has stopped, or after the fabric has rerouted the stream. It
 * queries the agents that may own the stream, see agent_history.h, in rounds; the owner answers. An
 * agent that started after its target cannot tell: the segment itself is sent as a probe to all
 * such agents, and each target that does not own the stream returns it. An agent gets one probe of
 * a stream, in whatever number of searches, see probe_history.h. So finding the owner costs
 * one round trip, and a target receives segments of other targets' streams for one round trip at
 * most. Segments that the caller sends meanwhile are buffered with the search.
 *
 * When no agent owns the stream, its caller gets a reset, so that it does not wait until its
 * deadline: after a power loss this concerns all open streams. A live stream must never be reset.
 * So every agent that may own the stream must have answered the query of this search, and none of
 * them may be missing; otherwise the stream is searched again when more is known of the agents. */

#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "kumquat/internal/stream_state.h"

/* Timeout of a round of queries, longer than a round trip between failure domains. */
#define QUERY_TIMEOUT_US (60 * KQ_MS)

/* Interval between searches while no agent is known. */
#define RETRY_INTERVAL_US (20 * KQ_MS)

/* Timeout of a round of probes; a target answers or returns a segment within milliseconds. */
#define PROBE_TIMEOUT_US (120 * KQ_MS)

/* How long a search without candidates is retried: a balancer learns of the agents within this time
 * after its start. */
#define AGENT_DISCOVERY_US (400 * KQ_MS)

/* Services whose agents a search queries at most. If there are more, no stream is reset that none
 * of these agents owns. */
#define SEARCH_SERVICES_MAX 16

/* Delay before the search for a missing owner is repeated. */
#define SEARCH_RETRY_US (300 * KQ_MS)

/* A stream that no agent accepted for this time is reported. */
#define UNOWNED_MAX_US (500 * KQ_MS)

/* Interval without such an event after which the time is counted anew. */
#define UNOWNED_RESET_US (2 * KQ_SECOND)

/* Agents named in the event, with the upper half of their ids. */
#define UNOWNED_NAMED_MAX    12
#define UNOWNED_NAMED_LENGTH 9

/* A stream without segments for this time is not searched any more: its caller would have
 * retransmitted after 1.6 s at the latest. */
#define CALLER_SILENT_US (1700 * KQ_MS)

/* Appends the agents of the services that are not among the first @named of @services. Those that
 * are away do not count as missing: one of them would keep all callers from being told. */
static void
append_other_services (const KqStreamRouter *router, KqStream *stream,
                       KqAgentCandidates *candidates, uint32_t services[SEARCH_SERVICES_MAX],
                       unsigned named, KqTime now)
{
  unsigned count =
      kq_agent_history_add_services (router->agent_history, services, named, SEARCH_SERVICES_MAX);
  unsigned listed = count < SEARCH_SERVICES_MAX ? count : SEARCH_SERVICES_MAX;
  KqAgentCandidates others =
      kq_agent_history_candidates (stream, router->agent_history, services + named, listed - named,
                                   kq_stream_key_hash (&stream->key), now);
  uint64_t *ids = candidates->ids == NULL || others.ids == NULL
                      ? NULL
                      : talloc_realloc (stream, candidates->ids, uint64_t,
                                        candidates->count + others.count + 1);
  candidates->known = candidates->known && ids != NULL && count <= SEARCH_SERVICES_MAX;
  if (ids != NULL)
    {
      memcpy (ids + candidates->count, others.ids, others.count * sizeof ids[0]);
      candidates->ids = ids;
      candidates->count += others.count;
    }
  talloc_free (others.ids);
}

/* Finds the agents that may own the stream: first those of the services that its route names or
 * named within the lifetime of a stream. While other configurations may have been in force
 * meanwhile which this balancer does not know, the agents of all other services follow. */
static KqAgentCandidates
find_candidates (const KqStreamRouter *router, KqStream *stream, KqTime now)
{
  uint32_t services[SEARCH_SERVICES_MAX];
  unsigned named = kq_route_history_services (router->route_history, router->routes, &stream->key,
                                              now, services, SEARCH_SERVICES_MAX);
  KqAgentCandidates candidates = kq_agent_history_candidates (
      stream, router->agent_history, services, named, kq_stream_key_hash (&stream->key), now);
  candidates.known = candidates.known && candidates.unknown_services == 0;
  stream->named_count = candidates.count;
  if (named == 0 || !kq_route_history_is_complete (router->route_history, now))
    append_other_services (router, stream, &candidates, services, named, now);
  return candidates;
}

static bool
is_orphaned (const KqStream *stream)
{
  return stream->candidates.known && stream->candidates.missing == 0 && stream->queried_count > 0 &&
         !stream->answers_missing;
}

/* Writes the upper halves of the ids of the agents that the search has queried. */
static void
format_queried (const KqStream *stream, char text[UNOWNED_NAMED_MAX * UNOWNED_NAMED_LENGTH + 2])
{
  int size = 0;
  text[0] = '-';
  text[1] = '\0';
  for (unsigned i = 0; i < stream->queried_count && i < UNOWNED_NAMED_MAX; i++)
    size += snprintf (text + size, UNOWNED_NAMED_LENGTH + 1, "%s%08x", i == 0 ? "" : ",",
                      (unsigned)(stream->candidates.ids[i] >> 32));
}

void
kq_stream_note_unowned (KqStreamRouter *router, KqStream *stream, uint64_t agent, KqTime now)
{
  char queried[UNOWNED_NAMED_MAX * UNOWNED_NAMED_LENGTH + 2];
  if (stream->unowned_since == 0 || now - stream->unowned_at >= UNOWNED_RESET_US)
    {
      stream->unowned_since = now;
      stream->unowned_reported = false;
    }
  stream->unowned_at = now;
  if (stream->unowned_reported || now - stream->unowned_since < UNOWNED_MAX_US)
    return;
  stream->unowned_reported = true;
  router->stats.unowned++;
  format_queried (stream, queried);
  kq_stream_log (router, LOG_WARNING, "stream-unowned", stream,
                 "for_ms=%lld declined_by=%016llx missing=%u asked=%u agents=%s",
                 (long long)((now - stream->unowned_since) / KQ_MS), (unsigned long long)agent,
                 stream->candidates.missing, stream->queried_count, queried);
}

static void
end_without_owner (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool certain = stream->target_denied || is_orphaned (stream);
  bool notify = certain && (stream->target_denied || stream->answer_expected);
  router->stats.lost++;
  if (!notify)
    kq_stream_note_unowned (router, stream, 0, now);
  kq_stream_log (router, LOG_INFO, "stream-lost", stream,
                 "target_gone=%s agents=%s missing=%u unanswered=%s asked=%u told=%s age_ms=%lld",
                 stream->target_denied ? "yes" : "unknown",
                 stream->candidates.known ? "known" : "unknown", stream->candidates.missing,
                 stream->answers_missing ? "yes" : "no", stream->queried_count,
                 notify ? "yes" : "no", (long long)((now - stream->first_at) / KQ_MS));
  if (notify)
    {
      kq_stream_refuse (router, stream, now);
      return;
    }
  kq_stream_end_search (router, stream);
  stream->orphaned = certain;
  stream->state = KQ_STREAM_NOT_FOUND;
  kq_stream_set_timeout (router, stream, now + SEARCH_RETRY_US);
}

/* Sends a query to the next round of candidates. */
static void
query_candidates (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  const KqAgentCandidates *candidates = &stream->candidates;
  unsigned end = stream->queried_count + KQ_SEARCH_ROUND_AGENTS;
  bool named = stream->queried_count < stream->named_count;
  if (named && end > stream->named_count)
    end = stream->named_count;
  stream->querying_others = !named && stream->named_count > 0;
  stream->state = KQ_STREAM_SEARCHING;
  stream->transaction_id = ++router->last_transaction_id;
  stream->unanswered = 0;
  stream->undecided_count = 0;
  for (; stream->queried_count < candidates->count && stream->queried_count < end;
       stream->queried_count++)
    {
      const KqStreamTarget *target =
          kq_stream_targets_find (router->targets, candidates->ids[stream->queried_count]);
      if (target == NULL)
        {
          stream->answers_missing |= !stream->querying_others;
          stream->uncertain |= !stream->querying_others;
          continue;
        }
      stream->unanswered++;
      router->stats.questions++;
      kq_stream_send (router, stream, target, KQ_FRAME_QUERY, NULL, 0);
    }
  kq_stream_set_timeout (router, stream,
                         now + (stream->queried_count > 0 ? QUERY_TIMEOUT_US : RETRY_INTERVAL_US));
}

static void
begin_search (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  talloc_free (stream->candidates.ids);
  stream->candidates = find_candidates (router, stream, now);
  stream->searched_at = now;
  stream->searched_version = kq_agent_history_version (router->agent_history);
  stream->queried_count = 0;
  stream->answers_missing = false;
  stream->uncertain = false;
  stream->first_round = router->last_transaction_id + 1;
  stream->silent_agent = 0;
  stream->silent_count = 0;
  stream->probed = false;
  stream->search_running = true;
  router->stats.searches++;
  query_candidates (router, stream, now);
}

void
kq_stream_start_search (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  kq_stream_end_search (router, stream);
  if (kq_search_budget_acquire (&router->search_budget))
    {
      begin_search (router, stream, now);
      return;
    }
  kq_stream_clear_timeout (router, stream);
  stream->state = KQ_STREAM_QUEUED;
  TAILQ_INSERT_TAIL (&router->queued, stream, by_timeout);
  router->stats.queued++;
}

void
kq_stream_start_queued_searches (KqStreamRouter *router, KqTime now)
{
  KqStream *stream;
  while ((stream = TAILQ_FIRST (&router->queued)) != NULL)
    {
      if (now - stream->used_at >= CALLER_SILENT_US)
        {
          kq_stream_free (router, stream);
          continue;
        }
      if (!kq_search_budget_acquire (&router->search_budget))
        return;
      kq_stream_end_search (router, stream);
      begin_search (router, stream, now);
    }
}

/* Return: whether every agent queried so far that may own the stream has answered, and none is
 * missing */
static bool
all_have_answered (const KqStream *stream)
{
  return stream->candidates.known && stream->candidates.missing == 0 && !stream->uncertain;
}

/* Sends a segment of the caller as a probe to the undecided agents that have not had one of this
 * stream before. Return: whether there was such an agent. */
static bool
send_probes (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  KqUnsentSegment *unsent = STAILQ_FIRST (&stream->unsent);
  uint32_t transaction_id = router->last_transaction_id + 1;
  unsigned sent = 0;
  if (!kq_stream_may_probe (stream, all_have_answered (stream), now))
    return false;
  for (unsigned i = 0; unsent != NULL && i < stream->undecided_count; i++)
    {
      KqStreamTarget *target = kq_stream_targets_find (router->targets, stream->undecided[i]);
      if (target == NULL || !kq_probe_history_add (stream, &stream->probes, target->peer.id,
                                                   target->peer.incarnation, transaction_id))
        continue;
      stream->transaction_id = transaction_id;
      sent++;
      kq_stream_send (router, stream, target, KQ_FRAME_PROBE, unsent->bytes, unsent->size);
    }
  if (sent == 0)
    return false;
  router->last_transaction_id = transaction_id;
  kq_stream_note_unconfirmed (stream, now);
  stream->probed = true;
  stream->state = KQ_STREAM_PROBING;
  stream->unanswered = sent;
  kq_stream_set_timeout (router, stream, now + PROBE_TIMEOUT_US);
  return true;
}

/* Return: (nullable) what is known of the agent's probe in its current incarnation. */
static const KqProbedAgent *
find_probe (const KqStreamRouter *router, const KqStream *stream, uint64_t agent)
{
  const KqStreamTarget *target = kq_stream_targets_find (router->targets, agent);
  return target == NULL ? NULL
                        : kq_probe_history_find (&stream->probes, agent, target->peer.incarnation);
}

static bool
has_returned (const KqStreamRouter *router, const KqStream *stream, uint64_t agent)
{
  const KqProbedAgent *probed = find_probe (router, stream, agent);
  return probed != NULL && probed->returned;
}

static void
add_undecided (KqStream *stream, uint64_t agent)
{
  if (stream->undecided_count < KQ_SEARCH_ROUND_AGENTS)
    stream->undecided[stream->undecided_count++] = agent;
  else
    {
      stream->answers_missing = true;
      stream->uncertain = true;
    }
}

static void
remove_undecided (KqStream *stream, uint64_t agent)
{
  for (unsigned i = 0; i < stream->undecided_count; i++)
    if (stream->undecided[i] == agent)
      {
        stream->undecided[i] = stream->undecided[--stream->undecided_count];
        return;
      }
}

/* Removes the first buffered segment if the agent has got it as a probe of this search. */
static void
drop_probed_segment (KqStreamRouter *router, KqStream *stream, uint64_t agent)
{
  KqUnsentSegment *first = STAILQ_FIRST (&stream->unsent);
  const KqProbedAgent *probed = find_probe (router, stream, agent);
  if (first == NULL || probed == NULL || probed->round == 0 ||
      (int32_t)(probed->round - stream->first_round) < 0)
    return;
  STAILQ_REMOVE_HEAD (&stream->unsent, link);
  stream->unsent_count--;
  talloc_free (first);
}

void
kq_stream_search_found (KqStreamRouter *router, KqStream *stream, KqStreamTarget *owner, KqTime now)
{
  if (stream->state == KQ_STREAM_SEARCHING || stream->state == KQ_STREAM_PROBING)
    drop_probed_segment (router, stream, owner->peer.id);
  kq_stream_set_owner (router, stream, owner, true, now);
}

/* Notes the undecided agents whose targets have not returned their probe: the target owns the
 * stream, or the probe or its return was lost, or the target holds an opening of the stream that
 * its caller did not continue, and neither answers nor returns its segments. */
static void
note_silent_agents (const KqStreamRouter *router, KqStream *stream)
{
  for (unsigned i = 0; i < stream->undecided_count; i++)
    {
      if (find_probe (router, stream, stream->undecided[i]) == NULL)
        continue;
      if (stream->silent_count++ == 0)
        stream->silent_agent = stream->undecided[i];
    }
}

/* At the end of a search in which no agent has confirmed the stream, the segments go to a silent
 * agent: the only one, or the first one if its probe was sent in an earlier search. If its target
 * returns them, the next search excludes it. While another agent may own the stream, which is
 * missing or has not answered, this is bounded: see kq_stream_may_try_owner(). */
static bool
try_silent_agent (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool certain = all_have_answered (stream);
  KqStreamTarget *target = kq_stream_targets_find (router->targets, stream->silent_agent);
  if (target == NULL || (stream->silent_count > 1 && stream->probed) ||
      !kq_stream_may_try_owner (stream, certain, now))
    return false;
  router->stats.found++;
  drop_probed_segment (router, stream, target->peer.id);
  stream->owner_certain = certain;
  kq_stream_set_owner (router, stream, target, false, now);
  return true;
}

/* Ends a round: all answers have arrived, or the round has timed out. */
static void
end_round (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool searching = stream->state == KQ_STREAM_SEARCHING;
  bool missing = stream->unanswered > 0 && !stream->querying_others;
  stream->answers_missing |= missing;
  stream->uncertain |= missing && searching;
  if (searching && stream->undecided_count > 0 && stream->unsent_count > 0 &&
      send_probes (router, stream, now))
    return;
  note_silent_agents (router, stream);
  stream->answers_missing |= stream->undecided_count > 0 && !stream->querying_others;
  if (stream->queried_count < stream->candidates.count)
    query_candidates (router, stream, now);
  else if (!try_silent_agent (router, stream, now))
    end_without_owner (router, stream, now);
}

void
kq_stream_search_note_returned (KqStreamRouter *router, KqStream *stream, uint64_t agent)
{
  const KqStreamTarget *target = kq_stream_targets_find (router->targets, agent);
  if (target != NULL)
    kq_probe_history_returned (stream, &stream->probes, agent, target->peer.incarnation);
}

void
kq_stream_search_handle_answer (KqStreamRouter *router, KqStream *stream,
                                const KqStreamFrame *frame, KqTime now)
{
  if (frame->type == KQ_FRAME_UNDECIDED && !has_returned (router, stream, frame->agent))
    add_undecided (stream, frame->agent);
  if (frame->type == KQ_FRAME_DECLINED)
    remove_undecided (stream, frame->agent);
  if (frame->type == KQ_FRAME_DECLINED && frame->reason != KQ_REFUSAL_WRONG_SERVICE &&
      stream->state == KQ_STREAM_PROBING)
    kq_stream_search_note_returned (router, stream, frame->agent);
  if (frame->reason == KQ_REFUSAL_WRONG_SERVICE)
    {
      stream->answers_missing = true;
      stream->uncertain = true;
    }
  if (stream->unanswered > 0)
    stream->unanswered--;
  if (stream->unanswered > 0)
    return;
  kq_search_budget_answered (&router->search_budget);
  end_round (router, stream, now);
}

/* A few missing answers are probably from agents that have stopped. Only when more than half of a
 * round is late is the network taken to be congested, and the search budget reduced. */
static void
record_late_round (KqStreamRouter *router, const KqStream *stream, KqTime now)
{
  unsigned round =
      stream->state == KQ_STREAM_SEARCHING ? stream->queried_count % KQ_SEARCH_ROUND_AGENTS : 0;
  if (round == 0)
    round = stream->queried_count < KQ_SEARCH_ROUND_AGENTS ? stream->queried_count
                                                           : KQ_SEARCH_ROUND_AGENTS;
  if (2 * stream->unanswered <= round)
    return;
  router->stats.late++;
  kq_search_budget_timeout (&router->search_budget, now);
}

void
kq_stream_search_timeout (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  if (stream->state == KQ_STREAM_SEARCHING)
    record_late_round (router, stream, now);
  if (stream->queried_count == 0 && now - stream->first_at < AGENT_DISCOVERY_US)
    kq_stream_start_search (router, stream, now);
  else
    end_round (router, stream, now);
}

void
kq_stream_search_retry (KqStreamRouter *router, KqStream *stream, KqTime now)
{
  bool more_known = stream->searched_version != kq_agent_history_version (router->agent_history);
  /* An agent that was away for so long that it counted as gone may be back with its streams. A
   * caller that closes its stream retransmits the FIN for seconds and needs no further search. */
  if (more_known && !stream->closing)
    stream->orphaned = false;
  if (stream->orphaned && stream->answer_expected)
    {
      kq_stream_refuse (router, stream, now);
      return;
    }
  bool repeated = stream->used_at > stream->searched_at;
  if (!stream->orphaned && now - stream->searched_at >= SEARCH_RETRY_US && (more_known || repeated))
    kq_stream_start_search (router, stream, now);
  else if (now - stream->used_at >= CALLER_SILENT_US)
    kq_stream_free (router, stream);
  else
    kq_stream_set_timeout (router, stream, now + SEARCH_RETRY_US);
}
