/* Callers with open flows while targets join, drain, leave or crash; counts the flows that break.
 */
#pragma once

#include "fleet.h"

/**
 * struct KqChangeParams - one run
 * @targets: targets at the start
 * @flows: flows that are open at once
 * @changes: changes of the membership, one every @change_every
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
  KqTime lag_max;
  double loss;
  double duplicate;
  bool crashes;
} KqChangeParams;

/**
 * struct KqChangeResult - what the callers saw
 * @sent: datagrams sent
 * @delivered: datagrams that reached a target
 * @opened: flows opened
 * @broken: flows with datagrams at two lives of targets although the first life ran on
 * @lost: flows whose target crashed
 * @refused: datagrams refused
 * @refused_open: datagrams refused although the life that holds their flow ran on
 * @left: targets that drained and left
 * @joined: targets that joined
 * @message_bytes: placement messages of all agents
 * @seconds: simulated time
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
} KqChangeResult;

KqChangeResult kq_change_run (const KqChangeParams *params);
