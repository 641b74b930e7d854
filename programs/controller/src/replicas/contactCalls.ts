import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';

/** Messages between controllers that report which replicas and controllers they are in contact with. */
export const contactCalls = {
  /**
   * The replica instances that sent a heartbeat lately, with their counts; sent also when there were none, as a sign of life.
   * `hears` names the controllers whose own messages arrived lately.
   */
  heard: defineCall(
    'controller.heard',
    v.strictObject({ from: NodeName, instances: v.array(v.tuple([v.string(), Count])), hears: v.array(NodeName) }),
    v.strictObject({}),
  ),
};
