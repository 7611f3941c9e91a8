/* Optional parts of stream balancing. Each is off unless the deployment asks for it or the settings
 * switch it on, so that deployments which do not need a part keep their behaviour. */
#pragma once

#include <stdbool.h>

/**
 * struct KqStreamFeatures - the optional parts in use
 * @outlier_detection: agents limit new streams to a target that fails requests
 * @load_estimation: balancers choose by the load expected now instead of the load last reported,
 *   and agents report the load that their open streams are expected to bring
 * @overload_control: balancers refuse or queue by the wait that agents report for each priority,
 *   and room is shared fairly among callers
 */
typedef struct
{
  bool outlier_detection;
  bool load_estimation;
  bool overload_control;
} KqStreamFeatures;

/** kq_stream_features_any - Return: whether any part is in use; frames then carry the fields of
 * extended frames, see KqStreamFrame */
static inline bool
kq_stream_features_any (const KqStreamFeatures *features)
{
  return features->outlier_detection || features->load_estimation || features->overload_control;
}
