import { describe, it } from 'node:test';
import { expect } from 'earl';
import { renameFields } from '../src/index.js';
import type { FieldRenamings } from '../src/index.js';

const renamings: FieldRenamings = {
  old: 'new',
  kind: { values: { lot: 'batch' } },
  nested: { to: 'inner', fields: { old: 'new' } },
  items: { fields: { old: 'new' } },
  byName: { record: true, fields: { old: 'new' } },
};

describe('renameFields', () => {
  it('renames fields and leaves those that the table does not name', () => {
    expect(renameFields({ old: 1, other: 2 }, renamings)).toEqual({ new: 1, other: 2 });
  });

  it('leaves a value of the newer format unchanged', () => {
    const present = { new: 1, kind: 'batch', inner: { new: 2 }, items: [{ new: 3 }], byName: { a: { new: 4 } } };
    expect(renameFields(present, renamings)).toEqual(present);
  });

  it('renames the fields of a nested object together with its own name', () => {
    expect(renameFields({ nested: { old: 1 } }, renamings)).toEqual({ inner: { new: 1 } });
  });

  it('renames the fields of each value of a record and none of its keys', () => {
    expect(renameFields({ byName: { old: { old: 1 }, b: { old: 2 } } }, renamings)).toEqual({
      byName: { old: { new: 1 }, b: { new: 2 } },
    });
  });

  it('renames the fields of each element of an array, also at the top', () => {
    expect(renameFields({ items: [{ old: 1 }, 2, { old: 3 }] }, renamings)).toEqual({ items: [{ new: 1 }, 2, { new: 3 }] });
    expect(renameFields([{ old: 1 }], renamings)).toEqual([{ new: 1 }]);
  });

  it('renames a text that the table lists and leaves every other value', () => {
    expect(renameFields({ kind: 'lot' }, renamings)).toEqual({ kind: 'batch' });
    expect(renameFields({ kind: 'whole' }, renamings)).toEqual({ kind: 'whole' });
    expect(renameFields({ kind: 7 }, renamings)).toEqual({ kind: 7 });
    expect(renameFields('lot', renamings)).toEqual('lot');
  });

  it('keeps the old name where the new one is taken, in either order', () => {
    expect(renameFields({ old: 1, new: 2 }, renamings)).toEqual({ old: 1, new: 2 });
    expect(renameFields({ new: 2, old: 1 }, renamings)).toEqual({ old: 1, new: 2 });
  });

  it('takes no inherited property of the table for a renaming', () => {
    expect(renameFields({ toString: 1, constructor: 2 }, renamings)).toEqual({ toString: 1, constructor: 2 });
    expect(renameFields({ kind: 'toString' }, renamings)).toEqual({ kind: 'toString' });
  });

  it('leaves bytes as they are', () => {
    const bytes = new Uint8Array([1, 2]);
    expect(renameFields(bytes, renamings) === bytes).toEqual(true);
  });
});
