/* Simulates callers with open flows while targets join, drain, leave or crash, and counts the flows
 * that break. */
#pragma once

#include "fleet.h"

/**
 * struct KqChurnParams - parameters of one simulation run
 * @targets: targets at the start
 * @flows: flows open at the same time
 * @changes: membership changes, one every @change_every
 * @view_delay_max: see KqFleetParams
 * @loss: see KqFleetParams
 * @duplicate: see KqFleetParams
 * @crashes: every second change is the crash of a target, which restarts after 8 s
 */
typedef struct
{
  uint64_t seed;
  KqFleetMode mode;
  unsigned targets;
  unsigned flows;
  unsigned changes;
  KqTime change_every;
  KqTime view_delay_max;
  double loss;
  double duplicate;
  bool crashes;
} KqChurnParams;

/**
 * struct KqChurnResult - results seen by the callers
 * @sent: datagrams sent
 * @delivered: datagrams that reached a target
 * @opened: flows opened
 * @broken: flows with datagrams at two target processes although the first one was still running
 * @lost: flows whose target crashed
 * @refused: datagrams refused
 * @refused_open: datagrams refused although the target process that owns their flow was running
 * @left: targets that drained and left
 * @joined: targets that joined
 * @message_bytes: bytes of the placement messages of all agents
 * @seconds: simulated duration
 */
typedef struct
{
  uint64_t sent;
  uint64_t delivered;
  uint64_t opened;
  uint64_t broken;
  uint64_t lost;
  uint64_t refused;
  uint64_t refused_open;
  unsigned left;
  unsigned joined;
  uint64_t message_bytes;
  double seconds;
} KqChurnResult;

KqChurnResult kq_churn_run (const KqChurnParams *params);
