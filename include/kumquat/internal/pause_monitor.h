/* Detects that the process did not run for a while: it was stopped, or its instance was frozen.
 * What its sockets kept meanwhile is outdated, since callers and peers have turned to others. */
#pragma once

#include "kumquat/types.h"

/* Shorter gaps come from CPU throttling; the fabric still sends to an instance that is silent for
 * less than this. */
#define KQ_PAUSE_MIN_US (500 * KQ_MS)

/**
 * struct KqPauseMonitor - time of the last event of a process that handles events all the time
 * @last_event_at: time of the last event; 0 before the first one
 */
typedef struct
{
  KqTime last_event_at;
} KqPauseMonitor;

/** kq_pause_monitor_event - records an event. Return: length of the pause that ended with it in
 * microseconds, or 0 if the process was not paused */
KqTime kq_pause_monitor_event (KqPauseMonitor *monitor, KqTime now);
