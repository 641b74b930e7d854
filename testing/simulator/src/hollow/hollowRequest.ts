import * as v from 'valibot';
import { NodeName } from '@pewterlanding/model';
import { HollowOptions } from './hollowOptions.js';

const Names = v.array(NodeName);

/** What the driver has a process of hollow nodes do. */
export const HollowRequest = v.variant('kind', [
  v.strictObject({ kind: v.literal('begin'), worker: v.number(), options: HollowOptions }),
  v.strictObject({ kind: v.literal('start'), names: Names }),
  v.strictObject({ kind: v.literal('kill'), names: Names }),
  v.strictObject({ kind: v.literal('leave'), names: Names }),
  v.strictObject({ kind: v.literal('put'), name: NodeName, key: v.string() }),
  v.strictObject({ kind: v.literal('confirm'), outputTokens: v.number() }),
  v.strictObject({ kind: v.literal('part'), regions: v.array(v.number()) }),
  v.strictObject({ kind: v.literal('view') }),
  v.strictObject({ kind: v.literal('meter') }),
  v.strictObject({ kind: v.literal('arrivals'), key: v.string() }),
]);
export type HollowRequest = v.InferOutput<typeof HollowRequest>;
