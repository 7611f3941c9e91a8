/* What an agent believes of the target beside it: which life, and whether it takes new streams. */
#pragma once

#include "kumquat/types.h"

#define KQ_TARGET_ID_BYTES 128

/**
 * enum KqTargetState - what a target says of itself
 * @KQ_TARGET_UNKNOWN: it has said nothing to this agent yet
 * @KQ_TARGET_READY: takes new streams
 * @KQ_TARGET_DRAINING: keeps its streams, takes no new ones
 * @KQ_TARGET_GONE: has ended
 */
typedef enum
{
  KQ_TARGET_UNKNOWN,
  KQ_TARGET_READY,
  KQ_TARGET_DRAINING,
  KQ_TARGET_GONE
} KqTargetState;

/**
 * struct KqTargetReport - one call of a target
 * @id: its name for itself
 * @service: number of the service that it serves; 0 when the call names none
 * @born_ms: when it started, in milliseconds since 1970; 0 when not said
 * @sequence: grows with each call of one life
 * @state: what it says
 * @slots: requests that it runs at once; 0 when not said
 * @cold_ms: how much longer it is slow after its start
 */
typedef struct
{
  char id[KQ_TARGET_ID_BYTES];
  uint32_t service;
  uint64_t born_ms;
  uint64_t sequence;
  KqTargetState state;
  unsigned slots;
  unsigned cold_ms;
} KqTargetReport;

/**
 * struct KqTargetLife - the newest life that is known, by value
 * @report: its last call
 * @at: when that came
 */
typedef struct
{
  KqTargetReport report;
  KqTime at;
} KqTargetLife;

/**
 * enum KqTargetChange - what a report meant
 * @KQ_TARGET_SAME: nothing new
 * @KQ_TARGET_CHANGED: the state changed in the same life
 * @KQ_TARGET_REBORN: another life; the streams of the earlier one are gone
 * @KQ_TARGET_LATE: an earlier life or an earlier call; it changes nothing
 */
typedef enum
{
  KQ_TARGET_SAME,
  KQ_TARGET_CHANGED,
  KQ_TARGET_REBORN,
  KQ_TARGET_LATE
} KqTargetChange;

/** kq_target_life_report - takes a report; Return: what it meant */
KqTargetChange kq_target_life_report (KqTargetLife *life, const KqTargetReport *report, KqTime now);

/** kq_target_state_name - Return: (static) the state in lower case */
const char *kq_target_state_name (KqTargetState state);
