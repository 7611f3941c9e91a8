#include <string.h>

#include "kumquat/internal/stream_process.h"

static const char *const keys[] = { "features.outlier_detection", "features.load_estimation",
                                    "features.overload_control" };

static bool
is_enabled (const KqSettings *settings, const char *key, bool requested)
{
  const char *value = kq_settings_text (settings, key);
  return strcmp (value, "on") == 0 || (strcmp (value, "auto") == 0 && requested);
}

KqStreamFeatures
kq_stream_features_read (const KqSettings *settings, KqStreamFeatures requested)
{
  return (KqStreamFeatures){
    .outlier_detection = is_enabled (settings, keys[0], requested.outlier_detection),
    .load_estimation = is_enabled (settings, keys[1], requested.load_estimation),
    .overload_control = is_enabled (settings, keys[2], requested.overload_control),
  };
}

int
kq_stream_features_check (const KqSettings *settings, const char *path, KqError *error)
{
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      const char *value = kq_settings_text (settings, keys[i]);
      if (strcmp (value, "auto") != 0 && strcmp (value, "on") != 0 && strcmp (value, "off") != 0)
        return kq_error_set (error, KQ_ERROR_INVALID,
                             "%s:%u: %s is '%.20s'; set it to auto, on or off", path,
                             kq_settings_line (settings, keys[i]), keys[i], value);
    }
  return 0;
}
