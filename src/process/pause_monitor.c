#include "kumquat/internal/pause_monitor.h"

KqTime
kq_pause_monitor_event (KqPauseMonitor *monitor, KqTime now)
{
  KqTime gap = monitor->last_event_at == 0 ? 0 : now - monitor->last_event_at;
  monitor->last_event_at = now;
  return gap >= KQ_PAUSE_MIN_US ? gap : 0;
}
