/* Overload control at a balancer: from the waits that agents report with their answers, decides
 * whether a new stream is offered as usual, queued at the agent with the shortest wait, or refused
 * at once. */
#pragma once

#include "kumquat/internal/stream_targets.h"

/* Services that share an entry share the evidence against refusals, so that fewer are refused. */
#define KQ_PRESSURE_SERVICES 256

/**
 * enum KqPressureAction - what to do with a new stream
 * @KQ_PRESSURE_OFFER: offer it as without overload control; it requires a free slot
 * @KQ_PRESSURE_QUEUE: offer it to the agent that is named, which may queue it
 * @KQ_PRESSURE_REFUSE: refuse it at once
 */
typedef enum
{
  KQ_PRESSURE_OFFER,
  KQ_PRESSURE_QUEUE,
  KQ_PRESSURE_REFUSE
} KqPressureAction;

/**
 * struct KqPressureDecision - what to do with one stream
 * @action: see KqPressureAction
 * @target: (nullable) (borrowed): the agent to offer it to, with KQ_PRESSURE_QUEUE only
 * @explores: the stream is expected to be late and is offered to verify the reports
 * @expected_wait_us: expected wait for a slot; 0 when no report is recent
 */
typedef struct
{
  KqPressureAction action;
  KqStreamTarget *target;
  bool explores;
  KqTime expected_wait_us;
} KqPressureDecision;

/**
 * struct KqPressureOutcome - answer of an agent to an offer
 * @service: number of the service
 * @need: requirements of the stream, with its age at the offer
 * @explores: as decided
 * @expected_wait_us: as decided
 * @took_us: time from the offer to the answer
 * @opened: the target accepted the stream
 * @lacks_room: the agent queued it, or declined it for want of slots
 * @overloaded: the agent declined it because it would wait too long
 */
typedef struct
{
  uint32_t service;
  KqStreamNeed need;
  bool explores;
  KqTime expected_wait_us;
  KqTime took_us;
  bool opened;
  bool lacks_room;
  bool overloaded;
} KqPressureOutcome;

/**
 * struct KqServicePressure - evidence of a balancer about the services
 * @skipped: (array): refusals since the last exploration, by service
 * @explored_at: (array): last exploration
 * @confirmed_at: (array): when an agent last declined a stream of this priority or a more urgent
 *   one because it would wait too long, by service and priority; 0 for never, or when a stream
 *   that was expected to be late got a slot in time since
 * @expected_us: (array): smoothed expected wait of new streams, by priority
 */
typedef struct
{
  struct
  {
    unsigned skipped;
    KqTime explored_at;
    KqTime confirmed_at[KQ_WAIT_CLASSES];
  } services[KQ_PRESSURE_SERVICES];
  KqTime expected_us[KQ_WAIT_CLASSES];
} KqServicePressure;

/**
 * kq_service_pressure_decide - decides about a new stream
 * @need: its requirements and age
 * @candidates: (array): agents that it can be offered to, at least one
 * @count: length of @candidates
 *
 * A stream is refused only when at least half of the candidates have reported within the last
 * second, it would be late at each of these, and an agent has confirmed that by declining a stream
 * shortly before. One of several such streams is offered all the same, to the agent with the oldest
 * report.
 */
KqPressureDecision kq_service_pressure_decide (KqServicePressure *pressure, uint32_t service,
                                               const KqStreamNeed *need,
                                               KqStreamTarget *const *candidates, unsigned count,
                                               KqTime now);

/**
 * kq_service_pressure_answered - learns from the answer to an offer
 * @target: the agent that answered; its load is that of the answer
 *
 * An agent that reports no wait but has no room, or that reports a long wait but opens a stream at
 * once, is not believed for a second.
 */
void kq_service_pressure_answered (KqServicePressure *pressure, KqStreamTarget *target,
                                   const KqPressureOutcome *outcome, KqTime now);
