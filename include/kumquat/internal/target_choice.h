/* Choice among the candidates of a new stream by the load that is expected now. A report describes
 * a target at the time of its last answer; requests end and other balancers open streams since. */
#pragma once

#include "kumquat/internal/stream_frame.h"

/* Send times that are kept of the last offers to a target. */
#define KQ_RECENT_OFFERS 8

/**
 * struct KqOfferCount - offers to one target that its last report does not include
 * @running: those that are expected to run still, as of @at
 * @at: time of the last update; 0 for never
 * @sent: (array): ring of the times of the last offers
 * @next: next entry of @sent
 */
typedef struct
{
  double running;
  KqTime at;
  KqTime sent[KQ_RECENT_OFFERS];
  unsigned next;
} KqOfferCount;

/**
 * struct KqChoiceCandidate - one agent that the stream may be offered to
 * @load: (borrowed): load as of its last report; untrusted
 * @load_at: when the report arrived; 0 for never
 * @offers: (borrowed): offers since then
 * @remote: it is in another failure domain than the balancer
 * @penalty_us: added to its cost, for example because it appears to be failing
 */
typedef struct
{
  const KqTargetLoad *load;
  KqTime load_at;
  const KqOfferCount *offers;
  bool remote;
  uint32_t penalty_us;
} KqChoiceCandidate;

/**
 * struct KqChoiceMeans - mean values over the candidates with a recent report
 * @service_us: service time
 * @slots: slots
 * @running: running and queued requests
 * @long_running: requests that long streams keep running, see KqTargetLoad.expected_permille
 * @most_recent: three of four candidates have a report that is recent enough for their running
 *   requests
 */
typedef struct
{
  double service_us;
  double slots;
  double running;
  double long_running;
  bool most_recent;
} KqChoiceMeans;

/** kq_offer_count_sent - counts an offer that is sent at @now to a target with @service_us */
void kq_offer_count_sent (KqOfferCount *offers, uint32_t service_us, KqTime now);

/** kq_offer_count_reported - a report arrived at @now. Offers that the agent cannot have received
 * when it sent the report stay counted. */
void kq_offer_count_reported (KqOfferCount *offers, KqTime now);

/** kq_choice_use - Return: requests that run, wait or are expected in the long run, per slot; 0
 * without slots */
double kq_choice_use (const KqTargetLoad *load);

/** kq_choice_means - Return: the means over @candidates; reports that are out of date or have no
 * slots are left out */
KqChoiceMeans kq_choice_means (const KqChoiceCandidate *candidates, unsigned count, KqTime now);

/** kq_choice_expected_running - Return: requests that are expected to run or wait at the target of
 * @candidate at @now, offers included */
double kq_choice_expected_running (const KqChoiceCandidate *candidate, const KqChoiceMeans *means,
                                   KqTime now);

/** kq_choice_cost_us - Return: expected time from an offer until the answer of the first request,
 * with the penalties of @candidate, in microseconds */
double kq_choice_cost_us (const KqChoiceCandidate *candidate, const KqChoiceMeans *means,
                          KqTime now);

/** kq_choice_expects_queue - Return: whether @candidate, which has the least cost, is expected to
 * have so long a queue that no candidate has a free slot. Always false where long streams bring
 * much of the load, and without recent reports of it and of most candidates. */
bool kq_choice_expects_queue (const KqChoiceCandidate *candidate, const KqChoiceMeans *means,
                              KqTime now);

/**
 * kq_choice_least_cost - chooses the candidate with the lowest cost
 * @candidates: (array): in the order of the stream's rank, which differs from stream to stream, so
 *   that streams are spread evenly among candidates of the same cost
 * @count: length of @candidates
 * @means: mean values of the service
 *
 * Return: index of the candidate, or -1 if @count is 0.
 */
int kq_choice_least_cost (const KqChoiceCandidate *candidates, unsigned count,
                          const KqChoiceMeans *means, KqTime now);
