/* Who gets a slot of the target, who waits for one, and who is refused at once. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/stream_frame.h"

/**
 * struct KqAdmissionEntry - one new stream that waits; part of what waits
 * @link: in the queue
 * @need: what its requests need
 * @arrived_at: when its caller began, by what the balancer said
 */
typedef struct KqAdmissionEntry
{
  TAILQ_ENTRY (KqAdmissionEntry) link;
  KqStreamNeed need;
  KqTime arrived_at;
} KqAdmissionEntry;

/**
 * struct KqAdmission - slots and queue of one target
 * @slots: requests that the target runs at once
 * @running: requests that run or are about to
 * @service_us: time of a request, smoothed
 * @recent_bytes: bytes of recent answers, older ones counting less
 * @recent_answers: how many answers these are, in the same weights
 * @waiting: streams that wait
 * @waiting_count: how many
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
} KqAdmission;

void kq_admission_init (KqAdmission *admission);

/** kq_admission_set_slots - takes the target's slots; 0 leaves them as they are */
void kq_admission_set_slots (KqAdmission *admission, unsigned slots);

/** kq_admission_has_room - Return: whether a new stream gets a slot at once */
bool kq_admission_has_room (const KqAdmission *admission);

/** kq_admission_begin - counts a request that is about to run */
void kq_admission_begin (KqAdmission *admission);

/** kq_admission_end - counts its end; @took_us is how long it took, or -1 when that says nothing */
void kq_admission_end (KqAdmission *admission, KqTime took_us);

/** kq_admission_answer - notes @size bytes of an answer */
void kq_admission_answer (KqAdmission *admission, size_t size);

/** kq_admission_worth_waiting - Return: whether a stream that comes now would get its slot while
 * its answer is still of use */
bool kq_admission_worth_waiting (const KqAdmission *admission, const KqAdmissionEntry *entry,
                                 KqTime now);

/** kq_admission_wait - puts a stream into the queue; its owner takes it out before freeing it */
void kq_admission_wait (KqAdmission *admission, KqAdmissionEntry *entry);
void kq_admission_remove (KqAdmission *admission, KqAdmissionEntry *entry);

/**
 * kq_admission_next - Return: (nullable) the stream to start when there is a slot
 *
 * Those that can still be answered in time come first, then by priority; of those in time the one
 * that waits longest, of the late ones the newest.
 */
KqAdmissionEntry *kq_admission_next (const KqAdmission *admission, KqTime now);

/** kq_admission_useless - Return: (nullable) a stream that has waited too long to be of use */
KqAdmissionEntry *kq_admission_useless (const KqAdmission *admission, KqTime now);

/** kq_admission_load - Return: the load as it is now */
KqTargetLoad kq_admission_load (const KqAdmission *admission);
