import * as v from 'valibot';

/** How a stand-in replica may misbehave. */
export const Fault = v.picklist([
  'none',
  'rubbish',
  'short',
  'long',
  'silent',
  'wrongTask',
  'cut',
  'noClose',
  'skips',
  'repeats',
  'error',
  'full',
]);
export type Fault = v.InferOutput<typeof Fault>;
