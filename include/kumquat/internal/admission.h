/* Admission control of one target: starts, queues or refuses new streams. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/fair_share.h"
#include "kumquat/internal/stream_frame.h"

/**
 * struct KqAdmissionEntry - a queued stream; embedded in the structure of its owner
 * @link: link in the queue
 * @need: priority, objective and timeout of its requests
 * @arrived_at: when the caller started to connect, as reported by the balancer
 * @caller_ip: address of the caller
 * @charged: @fair_tag is set
 * @fair_tag: its place among the streams of all callers, see KqFairShare
 */
typedef struct KqAdmissionEntry
{
  TAILQ_ENTRY (KqAdmissionEntry) link;
  KqStreamNeed need;
  KqTime arrived_at;
  uint32_t caller_ip;
  bool charged;
  uint64_t fair_tag;
} KqAdmissionEntry;

/**
 * struct KqAdmission - slots and queue of one target
 * @slots: requests that the target serves concurrently
 * @running: requests that are running or about to start
 * @service_us: moving average of the service time
 * @recent_bytes: exponentially decaying sum of the bytes of answers
 * @recent_answers: number of these answers, decaying at the same rate
 * @waiting: queued streams
 * @waiting_count: length of @waiting
 * @overload_control: late streams use only room that no stream in time needs, callers share the
 *   slots fairly, and the load includes the expected waits
 * @fair_share: streams by caller address; used with @overload_control
 * @urgent_share: (array): smoothed share of the started streams that are more urgent, by priority;
 *   used with @overload_control
 * @now: time of the last event, see kq_admission_set_time()
 */
typedef struct
{
  unsigned slots;
  unsigned running;
  KqTime service_us;
  double recent_bytes;
  double recent_answers;
  TAILQ_HEAD (, KqAdmissionEntry) waiting;
  unsigned waiting_count;
  bool overload_control;
  KqFairShare fair_share;
  double urgent_share[KQ_WAIT_CLASSES];
  KqTime now;
} KqAdmission;

void kq_admission_init (KqAdmission *admission);

/** kq_admission_enable_overload_control - switches overload control on, for good; @salt differs
 * between targets */
void kq_admission_enable_overload_control (KqAdmission *admission, uint64_t salt);

/** kq_admission_set_time - sets the time for which kq_admission_load() computes waits */
void kq_admission_set_time (KqAdmission *admission, KqTime now);

/** kq_admission_set_slots - sets the number of slots; 0 leaves it unchanged */
void kq_admission_set_slots (KqAdmission *admission, unsigned slots);

/** kq_admission_has_capacity - Return: whether a new stream can start immediately */
bool kq_admission_has_capacity (const KqAdmission *admission);

/** kq_admission_request_started - counts a request that is about to start */
void kq_admission_request_started (KqAdmission *admission);

/** kq_admission_request_ended - counts the end of a request; @took_us is its service time, or -1
 * when there is no meaningful measurement */
void kq_admission_request_ended (KqAdmission *admission, KqTime took_us);

/** kq_admission_count_answer_bytes - counts @size bytes of an answer */
void kq_admission_count_answer_bytes (KqAdmission *admission, size_t size);

/** kq_admission_can_start - Return: whether a stream that arrives now starts without queueing */
bool kq_admission_can_start (const KqAdmission *admission, const KqAdmissionEntry *entry,
                             KqTime now);

/** kq_admission_stream_started - counts a stream, queued before or not, that occupies a slot now;
 * call kq_admission_remove() first if it was queued */
void kq_admission_stream_started (KqAdmission *admission, KqAdmissionEntry *entry);

/**
 * kq_admission_should_enqueue - Return: whether a stream that arrives now is expected to get a
 * slot while its answer is still useful to the caller
 *
 * With overload control, a stream that would miss its objective is queued only if the queue is so
 * short that it delays no later stream that can meet its own.
 */
bool kq_admission_should_enqueue (const KqAdmission *admission, const KqAdmissionEntry *entry,
                                  KqTime now);

/** kq_admission_enqueue - queues a stream; the owner removes it before freeing it */
void kq_admission_enqueue (KqAdmission *admission, KqAdmissionEntry *entry);
void kq_admission_remove (KqAdmission *admission, KqAdmissionEntry *entry);

/** kq_admission_abandon - removes a queued stream that is not started; its caller is not charged */
void kq_admission_abandon (KqAdmission *admission, KqAdmissionEntry *entry);

/**
 * kq_admission_select_next - Return: (nullable) the stream to start next, if a slot is free
 *
 * Streams that can still meet their objective go first, then streams of the more urgent priority.
 * Ties are resolved in favour of the oldest among streams in time and of the newest among late
 * ones. With overload control, callers of one priority share the slots fairly, and a late stream
 * starts only in a slot that is free at this moment, not ahead of the end of a request.
 */
KqAdmissionEntry *kq_admission_select_next (const KqAdmission *admission, KqTime now);

/** kq_admission_find_expired - Return: (nullable) a stream that has waited too long to be useful */
KqAdmissionEntry *kq_admission_find_expired (const KqAdmission *admission, KqTime now);

/** kq_admission_load - Return: the current load; waits are 0 without overload control */
KqTargetLoad kq_admission_load (const KqAdmission *admission);
