#include "kumquat/internal/clock.h"
#include "kumquat/internal/program_parts.h"
#include "kumquat/internal/stream_process.h"
#include "kumquat/log.h"

/* Longest time until the next gossip datagram, which carries the announcement of the departure. */
#define ANNOUNCE_LEAVE_US (200 * KQ_MS)

KqControl *
kq_stream_control_new (const void *parent, struct tevent_context *ev, const KqSettings *settings,
                       KqRole role, uint32_t service, const KqControlOps *ops, void *data,
                       KqError *error)
{
  KqControlParams params = { 0 };
  KqAddress address = kq_settings_address (settings, "data.address");
  kq_program_read_control_params (settings, &params);
  kq_program_init_self (&params.self, role, kq_settings_text (settings, "name"),
                        kq_settings_text (settings, "failure_domain"), &address);
  params.self.service = service;
  kq_program_log_seeds (&params);
  params.common_document = KQ_EVACUATION_DOCUMENT;
  return kq_control_new (parent, ev, &params, ops, data, error);
}

void
kq_stream_update_control (KqControl *control, const KqSettings *settings)
{
  KqControlParams params = { 0 };
  kq_program_read_control_params (settings, &params);
  kq_program_update_control (control, &params);
}

bool
kq_stream_leave (KqControl *control, KqTimer *timer)
{
  if (kq_control_self (control)->state == KQ_MEMBER_LEFT)
    return false;
  kq_control_leave (control);
  kq_timer_set (timer, kq_clock_now () + ANNOUNCE_LEAVE_US);
  return true;
}

int
kq_stream_check_settings (const KqSettings *settings, const char *path, KqError *error)
{
  if (kq_stream_features_check (settings, path, error) < 0)
    return -1;
  return kq_program_check_control (settings, path, error);
}

KqStreamFeatures
kq_stream_features_log (const KqSettings *settings, const KqStreamAdapter *adapter)
{
  KqStreamFeatures features = kq_stream_features_read (settings, adapter->requested_features ());
  kq_log (LOG_NOTICE, "features", "outlier_detection=%s load_estimation=%s overload_control=%s",
          features.outlier_detection ? "on" : "off", features.load_estimation ? "on" : "off",
          features.overload_control ? "on" : "off");
  return features;
}

void
kq_stream_log_incarnation_changed (uint64_t incarnation, void *data)
{
  (void)data;
  kq_log (LOG_WARNING, "woke-after-pause", "incarnation=%llu", (unsigned long long)incarnation);
}

void
kq_stream_log_malformed (const KqAddress *from, const KqError *why)
{
  char address[KQ_ADDRESS_TEXT_BYTES];
  char quoted[KQ_LOG_QUOTE_BYTES];
  kq_log (LOG_WARNING, "segment-malformed", "from=%s error=%s", kq_address_format (from, address),
          kq_log_quote (why->message, quoted));
}

void
kq_stream_log_event (int level, const char *name, const char *details, void *data)
{
  (void)data;
  kq_log (level, name, "%s", details);
}
