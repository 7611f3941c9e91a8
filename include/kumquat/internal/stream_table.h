/* Streams of an agent: admission of new streams, the table of streams that its target owns, and
 * forwarding between balancers, target and callers. The target is the authority for the streams
 * that it owns; the table follows what it sends. */
#pragma once

#include "kumquat/internal/admission.h"
#include "kumquat/internal/outlier_detector.h"
#include "kumquat/internal/stream_features.h"
#include "kumquat/internal/target_process.h"
#include "kumquat/view.h"

typedef struct KqStreamTable KqStreamTable;

/**
 * struct KqStreamTableOps - callbacks of the table; pointers are borrowed for the call
 * @answer: sends a frame to a balancer
 * @deliver: sends a segment to the target; @tag is 0 for none
 * @to_caller: sends a segment of the target to the caller of @key
 * @event: logs an event; @details are key=value pairs
 * @answered: (nullable): the answer to a request began, @took_us after the request
 */
typedef struct
{
  void (*answer) (const KqAddress *to, const KqStreamFrame *frame, void *data);
  void (*deliver) (const uint8_t *bytes, size_t size, uint32_t tag, void *data);
  void (*to_caller) (const KqStreamKey *key, const uint8_t *bytes, size_t size, void *data);
  void (*event) (int level, const char *name, const char *details, void *data);
  void (*answered) (KqTime took_us, void *data);
} KqStreamTableOps;

/**
 * struct KqStreamTableStats - counters since the start; gauges are marked
 * @opened: streams that the target accepted
 * @declined: (array): declining answers by KqStreamRefusal
 * @misdirected: frames for another service or agent, or of a type that only balancers receive
 * @learnt: streams that were added because the target sent segments of them
 * @probed: segments sent to the target to find out whether it owns their stream
 * @bounced: segments that the target returned
 * @to_target: segments sent to the target
 * @to_callers: segments sent to callers
 * @waited: streams that waited for a slot
 * @requests: requests that were answered
 * @gone: streams that the target lost, by a restart or otherwise
 * @superseded: streams that this target accepted while their callers continued with another one
 * @outdated: frames dropped because they waited while the process was paused
 * @doubtful_reports: (array): reports of the target with something unusual, by KqReportDoubt
 * @outcomes: (array): requests with a known outcome, by KqRequestOutcome
 * @streams: gauge: streams in the table
 */
typedef struct
{
  uint64_t opened;
  uint64_t declined[KQ_REFUSAL_MAX + 1];
  uint64_t misdirected;
  uint64_t learnt;
  uint64_t probed;
  uint64_t bounced;
  uint64_t to_target;
  uint64_t to_callers;
  uint64_t waited;
  uint64_t requests;
  uint64_t gone;
  uint64_t superseded;
  uint64_t outdated;
  uint64_t doubtful_reports[KQ_REPORT_DOUBT_MAX + 1];
  uint64_t outcomes[KQ_OUTCOME_MAX + 1];
  uint64_t streams;
} KqStreamTableStats;

/**
 * struct KqStreamTableParams - identity of one agent
 * @agent: its id
 * @service: number of the service that its target serves
 * @features: optional parts in use
 */
typedef struct
{
  uint64_t agent;
  uint32_t service;
  KqStreamFeatures features;
} KqStreamTableParams;

/** kq_stream_table_new - Return: (owned by @parent) an empty table whose target has not reported
 * yet, or NULL without memory */
KqStreamTable *kq_stream_table_new (const void *parent, const KqStreamTableParams *params,
                                    const KqStreamTableOps *ops, void *data, KqTime now);

/**
 * kq_stream_table_target_report - handles a status report of the target
 * @uptime_us: how long the target has run, as it reports; -1 when not reported
 * @doubt: (out): what is unusual about the report; it is counted
 *
 * Return: the effect of the report, which may be acknowledged unless that is KQ_TARGET_OUTDATED or
 * KQ_TARGET_DEFERRED.
 */
KqTargetChange kq_stream_table_target_report (KqStreamTable *stream_table,
                                              const KqTargetReport *report, KqTime uptime_us,
                                              KqTime now, KqReportDoubt *doubt);

/** kq_stream_table_handle_frame - handles a frame of a balancer */
void kq_stream_table_handle_frame (KqStreamTable *stream_table, const KqAddress *from,
                                   const KqStreamFrame *frame, const KqSegment *segment,
                                   KqTime now);

/** kq_stream_table_handle_outdated_frame - handles a frame that waited here while this process was
 * paused. Segments of open streams are delivered; the rest is dropped, since the balancer has
 * turned to another agent meanwhile. */
void kq_stream_table_handle_outdated_frame (KqStreamTable *stream_table, const KqAddress *from,
                                            const KqStreamFrame *frame, const KqSegment *segment,
                                            KqTime now);

/** kq_stream_table_resume - handles that this process was paused: queued streams that have waited
 * too long are declined before any of them is opened */
void kq_stream_table_resume (KqStreamTable *stream_table, KqTime now);

/** kq_stream_table_handle_target_segment - handles a segment that the target sent or returned */
void kq_stream_table_handle_target_segment (KqStreamTable *stream_table, const KqSegment *segment,
                                            KqTime now);

/** kq_stream_table_target_unreachable - no process listens on the target's port: all streams are
 * lost, and no new stream is accepted for a short time */
void kq_stream_table_target_unreachable (KqStreamTable *stream_table, KqTime now);

/** kq_stream_table_stop_accepting - stops accepting new streams, as this agent shuts down */
void kq_stream_table_stop_accepting (KqStreamTable *stream_table);

/** kq_stream_table_set_evacuated - sets whether the failure domain is evacuated: no new stream is
 * accepted then, and queued ones are declined */
void kq_stream_table_set_evacuated (KqStreamTable *stream_table, bool evacuated);

/** kq_stream_table_accepts_new - Return: whether new streams are accepted, load aside */
bool kq_stream_table_accepts_new (const KqStreamTable *stream_table);

/** kq_stream_table_phase - Return: the phase that this agent publishes for its target. An agent
 * that shuts down without a report since its own start knows nothing of its target and publishes
 * KQ_PHASE_UNKNOWN. */
KqTargetPhase kq_stream_table_phase (const KqStreamTable *stream_table);

KqTime kq_stream_table_next_tick (const KqStreamTable *stream_table);
void kq_stream_table_tick (KqStreamTable *stream_table, KqTime now);

KqStreamTableStats kq_stream_table_stats (const KqStreamTable *stream_table);
const KqTargetProcess *kq_stream_table_target (const KqStreamTable *stream_table);
KqTargetLoad kq_stream_table_load (const KqStreamTable *stream_table);
