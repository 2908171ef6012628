package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.QueueLevel;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What an instance, or all of a data centre, have under way at targets, as a message carries it.
 *
 * @param number the number of this word of its sender
 * @param loads by target, not null
 * @param contained of a sum: the numbers of the words that it contains, by sender, not null
 */
record LoadReport(long number, Map<String, TargetLoad> loads, Map<String, Long> contained) {

    private static final int FIELDS = 3;

    LoadReport {
        loads = Map.copyOf(loads);
        contained = Map.copyOf(contained);
    }

    Bytes encode() {
        return Packing.pack(this, LoadReport::write);
    }

    static LoadReport decode(Bytes payload) throws IOException {
        return Packing.unpack(payload.toByteArray(), LoadReport::read);
    }

    private static void write(MessagePacker packer, LoadReport word) throws IOException {
        packer.packArrayHeader(FIELDS);
        packer.packLong(word.number);
        Packing.writeAll(packer, word.loads.entrySet(), (to, load) -> {
            to.packString(load.getKey());
            writeLoad(to, load.getValue());
        });
        Packing.writeNumbers(packer, word.contained);
    }

    private static void writeLoad(MessagePacker packer, TargetLoad load) throws IOException {
        PrefillQueue unread = load.prefillQueue();
        List<Integer> levels = new ArrayList<>();
        for (int level = 0; level < QueueLevel.COUNT; level++) {
            if (unread.tokensAt(level) != 0 || unread.promptsAt(level) != 0) {
                levels.add(level);
            }
        }
        packer.packInt(load.callsCount());
        Packing.writeAll(packer, levels, (to, level) -> {
            to.packInt(level);
            to.packLong(unread.tokensAt(level));
            to.packInt(unread.promptsAt(level));
        });
    }

    private static LoadReport read(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, FIELDS);
        long number = unpacker.unpackLong();
        Map<String, TargetLoad> loads = new HashMap<>();
        Packing.readAll(unpacker, from -> loads.put(from.unpackString(), readLoad(from)));
        return new LoadReport(number, loads, Packing.readNumbers(unpacker));
    }

    private static TargetLoad readLoad(MessageUnpacker unpacker) throws IOException {
        int callsCount = unpacker.unpackInt();
        List<PrefillQueue> levels = Packing.readAll(unpacker, LoadReport::readLevel);
        return new TargetLoad(callsCount, levels.stream().reduce(PrefillQueue.EMPTY, PrefillQueue::plus));
    }

    private static PrefillQueue readLevel(MessageUnpacker unpacker) throws IOException {
        int level = unpacker.unpackInt();
        if (level < 0 || level >= QueueLevel.COUNT) {
            throw new IOException("no level: " + level);
        }
        return PrefillQueue.EMPTY.plusPrompts(level, unpacker.unpackLong(), unpacker.unpackInt());
    }
}
