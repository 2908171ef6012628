package org.dogwoodwinch.bytes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads what instances tell each other, in MessagePack, field by field.
 *
 * <p>Load: a process that starts beside traffic. Codecs that look up fields by reflection build themselves anew in each
 * process, which costs more processor time than all messages of its first seconds.
 */
public final class Packing {

    /** More elements than any message has; a length beyond it is damage, and no reason to allocate. */
    private static final int MOST_ELEMENTS = 100_000;

    private Packing() {}

    /**
     * Writes one value.
     *
     * @param <T> the value's type
     */
    @FunctionalInterface
    public interface Writer<T> {

        /**
         * Writes a value.
         *
         * @param packer where to, not null
         * @param value the value, not null
         * @throws IOException never, as the packer writes to memory
         */
        void write(MessagePacker packer, T value) throws IOException;
    }

    /**
     * Reads one value.
     *
     * @param <T> the value's type
     */
    @FunctionalInterface
    public interface Reader<T> {

        /**
         * Reads a value.
         *
         * @param unpacker where from, not null
         * @return the value
         * @throws IOException if it is no such value
         */
        T read(MessageUnpacker unpacker) throws IOException;
    }

    /**
     * Writes a value to bytes.
     *
     * @param <T> the value's type
     * @param value the value, not null
     * @param writer writes it, not null
     * @return the bytes
     */
    public static <T> Bytes pack(T value, Writer<T> writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer, value);
            packer.flush();
            return Bytes.of(packer.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to be written", e);
        }
    }

    /**
     * Reads a value from bytes.
     *
     * @param <T> the value's type
     * @param content the bytes, not null
     * @param reader reads it, not null
     * @return the value
     * @throws IOException if the bytes are no such value, or more than it
     */
    public static <T> T unpack(byte[] content, Reader<T> reader) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
            T value = reader.read(unpacker);
            if (unpacker.hasNext()) {
                throw new IOException("bytes are left over");
            }
            return value;
        } catch (MessagePackException | IllegalArgumentException | NullPointerException | ArithmeticException e) {
            throw new IOException("not such a value: " + e.getMessage(), e);
        }
    }

    /**
     * Writes values as an array.
     *
     * @param <T> their type
     * @param packer where to, not null
     * @param values the values, not null
     * @param writer writes one, not null
     * @throws IOException never, as the packer writes to memory
     */
    public static <T> void writeAll(MessagePacker packer, Collection<T> values, Writer<T> writer) throws IOException {
        packer.packArrayHeader(values.size());
        for (T value : values) {
            writer.write(packer, value);
        }
    }

    /**
     * Reads an array of values.
     *
     * @param <T> their type
     * @param unpacker where from, not null
     * @param reader reads one, not null
     * @return the values
     * @throws IOException if it is no such array
     */
    public static <T> List<T> readAll(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        int count = checked(unpacker.unpackArrayHeader());
        List<T> values = new ArrayList<>(Math.min(count, 1_000));
        for (int i = 0; i < count; i++) {
            values.add(reader.read(unpacker));
        }
        return values;
    }

    /**
     * Writes a map of whole numbers.
     *
     * @param packer where to, not null
     * @param numbers the numbers by name, not null
     * @throws IOException never, as the packer writes to memory
     */
    public static void writeNumbers(MessagePacker packer, Map<String, ? extends Number> numbers) throws IOException {
        packer.packMapHeader(numbers.size());
        for (Map.Entry<String, ? extends Number> number : numbers.entrySet()) {
            packer.packString(number.getKey());
            packer.packLong(number.getValue().longValue());
        }
    }

    /**
     * Reads a map of whole numbers.
     *
     * @param unpacker where from, not null
     * @return the numbers by name, in their order
     * @throws IOException if it is no such map
     */
    public static Map<String, Long> readNumbers(MessageUnpacker unpacker) throws IOException {
        int count = checked(unpacker.unpackMapHeader());
        Map<String, Long> numbers = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String name = unpacker.unpackString();
            numbers.put(name, unpacker.unpackLong());
        }
        return numbers;
    }

    /**
     * Writes bytes.
     *
     * @param packer where to, not null
     * @param content the bytes, not null
     * @throws IOException never, as the packer writes to memory
     */
    public static void writeBytes(MessagePacker packer, Bytes content) throws IOException {
        byte[] raw = content.toByteArray();
        packer.packBinaryHeader(raw.length);
        packer.writePayload(raw);
    }

    /**
     * Reads bytes.
     *
     * @param unpacker where from, not null
     * @return the bytes
     * @throws IOException if there are none
     */
    public static Bytes readBytes(MessageUnpacker unpacker) throws IOException {
        return Bytes.of(unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    /**
     * Reads the beginning of an array of fields.
     *
     * @param unpacker where from, not null
     * @param fieldsCount the fields that it has
     * @throws IOException if it has another number of fields
     */
    public static void expectFields(MessageUnpacker unpacker, int fieldsCount) throws IOException {
        checkFieldsCount(unpacker.unpackArrayHeader(), fieldsCount);
    }

    /**
     * Checks the number of fields of an array whose beginning was read.
     *
     * @param count the fields that it has
     * @param fieldsCount the fields that it should have
     * @throws IOException if the numbers differ
     */
    public static void checkFieldsCount(int count, int fieldsCount) throws IOException {
        if (count != fieldsCount) {
            throw new IOException(count + " fields instead of " + fieldsCount);
        }
    }

    private static int checked(int count) throws IOException {
        if (count > MOST_ELEMENTS) {
            throw new IOException(count + " elements");
        }
        return count;
    }
}
