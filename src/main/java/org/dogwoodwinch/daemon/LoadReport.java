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
 * The load of calls in progress at targets, of one instance or as a sum over several, as encoded in a message.
 *
 * @param sequenceNumber the sequence number of this report at its sender
 * @param loads the loads by target id, not null
 * @param includedReports in a sum, the sequence numbers of the included reports by sender; otherwise empty, not null
 */
record LoadReport(long sequenceNumber, Map<String, TargetLoad> loads, Map<String, Long> includedReports) {

    private static final int FIELD_COUNT = 3;

    LoadReport {
        loads = Map.copyOf(loads);
        includedReports = Map.copyOf(includedReports);
    }

    Bytes encode() {
        return Packing.pack(this, LoadReport::write);
    }

    static LoadReport decode(Bytes payload) throws IOException {
        return Packing.unpack(payload.toByteArray(), LoadReport::read);
    }

    private static void write(MessagePacker packer, LoadReport report) throws IOException {
        packer.packArrayHeader(FIELD_COUNT);
        packer.packLong(report.sequenceNumber);
        Packing.writeAll(packer, report.loads.entrySet(), (to, load) -> {
            to.packString(load.getKey());
            writeLoad(to, load.getValue());
        });
        Packing.writeNumbers(packer, report.includedReports);
    }

    private static void writeLoad(MessagePacker packer, TargetLoad load) throws IOException {
        PrefillQueue prefillQueue = load.prefillQueue();
        List<Integer> levels = new ArrayList<>();
        for (int level = 0; level < QueueLevel.COUNT; level++) {
            if (prefillQueue.tokensAt(level) != 0 || prefillQueue.promptsAt(level) != 0) {
                levels.add(level);
            }
        }
        packer.packInt(load.callsCount());
        Packing.writeAll(packer, levels, (to, level) -> {
            to.packInt(level);
            to.packLong(prefillQueue.tokensAt(level));
            to.packInt(prefillQueue.promptsAt(level));
        });
    }

    private static LoadReport read(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, FIELD_COUNT);
        long sequenceNumber = unpacker.unpackLong();
        Map<String, TargetLoad> loads = new HashMap<>();
        Packing.readAll(unpacker, from -> loads.put(from.unpackString(), readLoad(from)));
        return new LoadReport(sequenceNumber, loads, Packing.readNumbers(unpacker));
    }

    private static TargetLoad readLoad(MessageUnpacker unpacker) throws IOException {
        int callsCount = unpacker.unpackInt();
        PrefillQueue queue = PrefillQueue.EMPTY;
        for (PrefillQueue level : Packing.readAll(unpacker, LoadReport::readLevel)) {
            queue = queue.plus(level);
        }
        return new TargetLoad(callsCount, queue);
    }

    private static PrefillQueue readLevel(MessageUnpacker unpacker) throws IOException {
        int level = unpacker.unpackInt();
        if (level < 0 || level >= QueueLevel.COUNT) {
            throw new IOException("unknown prefill queue level: " + level);
        }
        return PrefillQueue.EMPTY.plusPrompts(level, unpacker.unpackLong(), unpacker.unpackInt());
    }
}
